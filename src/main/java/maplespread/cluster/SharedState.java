package maplespread.cluster;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.nio.charset.StandardCharsets;

/**
 * The encoding of the replicated value: a JSON object with one string member, a section, for each feature that stores
 * data in it. Each section has its own size limit, so that a growing section takes no space from the others.
 */
public final class SharedState {
    /** Greatest size of the release section, in bytes. */
    public static final int MAX_RELEASE_SECTION_BYTES = 32 * 1024;

    /** Greatest size of any other section, in bytes. */
    public static final int MAX_SECTION_BYTES = 15 * 1024;

    private static final String RELEASE_SECTION = "release";

    private SharedState() {}

    /** The greatest size of a section in the replicated value, in bytes of UTF-8 with quotes and escapes. */
    public static int maxBytes(String section) {
        return section.equals(RELEASE_SECTION) ? MAX_RELEASE_SECTION_BYTES : MAX_SECTION_BYTES;
    }

    /** The text of a section; empty if the section is absent. */
    public static String read(String value, String section) {
        JsonElement sectionText = parse(value).get(section);
        return sectionText == null ? "" : sectionText.getAsString();
    }

    /**
     * Returns the replicated value with the text of one section replaced.
     *
     * @throws SectionTooLargeException if the section would be larger than {@link #maxBytes}
     */
    public static String write(String value, String section, String text) throws SectionTooLargeException {
        JsonElement encodedText = new JsonPrimitive(text);
        int bytes = encodedText.toString().getBytes(StandardCharsets.UTF_8).length;
        if (bytes > maxBytes(section)) {
            throw new SectionTooLargeException(section, bytes, maxBytes(section));
        }
        JsonObject root = parse(value);
        root.add(section, encodedText);
        return root.toString();
    }

    private static JsonObject parse(String value) {
        return value.isEmpty()
                ? new JsonObject()
                : JsonParser.parseString(value).getAsJsonObject();
    }
}
