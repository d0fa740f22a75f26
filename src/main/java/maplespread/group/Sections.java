package maplespread.group;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/** The one value that the fleet agrees on is a JSON object with a text for each part that uses it. */
public final class Sections {
    private Sections() { }

    /** A part's own text; empty where it has none. */
    public static String read(String value, String part) {
        JsonElement section = object(value).get(part);
        return section == null ? "" : section.getAsString();
    }

    /** The value with a part's text in place of what it had. */
    public static String write(String value, String part, String text) {
        JsonObject all = object(value);
        all.addProperty(part, text);
        return all.toString();
    }

    private static JsonObject object(String value) {
        return value.isEmpty() ? new JsonObject() : JsonParser.parseString(value).getAsJsonObject();
    }
}
