package maplespread.registry.wire;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;

/**
 * Members as etcd's JSON gateway has them: keys and values in base64, 64-bit numbers as strings, members that
 * hold a zero left out.
 */
final class EtcdJson {
    private static final byte MAX_BYTE = (byte) 0xff;

    private EtcdJson() {}

    static JsonObject object(String body) {
        return JsonParser.parseString(body).getAsJsonObject();
    }

    static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The text of a base64 member; empty where it is left out. */
    static String text(JsonObject object, String name) {
        return object.has(name)
                ? new String(Base64.getDecoder().decode(object.get(name).getAsString()), StandardCharsets.UTF_8)
                : "";
    }

    /** A number; 0 where it is left out. */
    static long number(JsonObject object, String name) {
        return object.has(name) ? Long.parseLong(object.get(name).getAsString()) : 0;
    }

    static boolean flag(JsonObject object, String name) {
        return object.has(name) && object.get(name).getAsBoolean();
    }

    /** Adds the number unless it is zero. */
    static void addNumber(JsonObject object, String name, long value) {
        if (value != 0) {
            object.addProperty(name, Long.toString(value));
        }
    }

    /** In base64 the first key after all that begin with the prefix: its last byte below 255 is raised by one. */
    static String rangeEnd(String prefix) {
        byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
        int length = bytes.length;
        while (length > 0 && bytes[length - 1] == MAX_BYTE) {
            length--;
        }
        if (length == 0) {
            return Base64.getEncoder().encodeToString(new byte[1]); // to the end of all keys
        }
        byte[] end = Arrays.copyOf(bytes, length);
        end[length - 1]++;
        return Base64.getEncoder().encodeToString(end);
    }
}
