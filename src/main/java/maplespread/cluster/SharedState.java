package maplespread.cluster;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.nio.charset.StandardCharsets;

/**
 * The one value that the fleet agrees on is a JSON object with a text for each part that uses it. Each has a
 * room of its own, so that one part which grows takes nothing from the others.
 */
public final class SharedState {
    /** Bytes of the release's section, as it stands in the value, and of the other one: of 48 KB. */
    public static final int MAX_RELEASE_SECTION_BYTES = 32 * 1024, MAX_SECTION_BYTES = 15 * 1024;

    private SharedState() {}

    /** What a part's section may take in the value, quotes and escapes counted. */
    public static int maxBytes(String part) {
        return part.equals("release") ? MAX_RELEASE_SECTION_BYTES : MAX_SECTION_BYTES;
    }

    /** A part's own text; empty where it has none. */
    public static String read(String value, String part) {
        JsonElement section = object(value).get(part);
        return section == null ? "" : section.getAsString();
    }

    /** The value with a part's text in place of what it had; whoever calls has read the value just now. */
    public static String write(String value, String part, String text) throws SectionTooLargeException {
        JsonElement section = new JsonPrimitive(text);
        int bytes = section.toString().getBytes(StandardCharsets.UTF_8).length;
        if (bytes > maxBytes(part)) {
            throw new SectionTooLargeException(part, bytes, maxBytes(part));
        }
        JsonObject all = object(value);
        all.add(part, section);
        return all.toString();
    }

    private static JsonObject object(String value) {
        return value.isEmpty()
                ? new JsonObject()
                : JsonParser.parseString(value).getAsJsonObject();
    }
}
