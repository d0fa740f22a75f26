package maplespread.cluster;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.nio.charset.StandardCharsets;

/**
 * The text of the one value that the fleet agrees on: a JSON object with a string for each part that uses it, its
 * section. Each section has a limit of its own, so that one which grows takes nothing from the others.
 */
public final class SharedState {
    /** Most bytes of the release's section. */
    public static final int MAX_RELEASE_SECTION_BYTES = 32 * 1024;

    /** Most bytes of any other section. */
    public static final int MAX_SECTION_BYTES = 15 * 1024;

    private static final String RELEASE = "release";

    private SharedState() {}

    /** Most bytes of a section as it stands in the value: UTF-8, with its quotes and escapes. */
    public static int maxBytes(String section) {
        return section.equals(RELEASE) ? MAX_RELEASE_SECTION_BYTES : MAX_SECTION_BYTES;
    }

    /** The text of a section; empty where it has none. */
    public static String read(String value, String section) {
        JsonElement found = parse(value).get(section);
        return found == null ? "" : found.getAsString();
    }

    /**
     * The value with another text in one section.
     *
     * @throws SectionTooLargeException if the section would be larger than {@link #maxBytes}
     */
    public static String write(String value, String section, String text) throws SectionTooLargeException {
        JsonElement next = new JsonPrimitive(text);
        int bytes = next.toString().getBytes(StandardCharsets.UTF_8).length;
        if (bytes > maxBytes(section)) {
            throw new SectionTooLargeException(section, bytes, maxBytes(section));
        }
        JsonObject all = parse(value);
        all.add(section, next);
        return all.toString();
    }

    private static JsonObject parse(String value) {
        return value.isEmpty()
                ? new JsonObject()
                : JsonParser.parseString(value).getAsJsonObject();
    }
}
