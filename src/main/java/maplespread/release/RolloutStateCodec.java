package maplespread.release;

import com.google.gson.Gson;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * The text form of a {@link RolloutState}: its JSON, or, where that is long, {@code LENGTH:DATA} with the length of the
 * JSON in bytes and the JSON as zlib data in Base64. Compression is needed because the replicated value is bounded.
 */
final class RolloutStateCodec {
    /** The length from which JSON is compressed. */
    private static final int MIN_COMPRESSED_CHARS = 16 * 1024;
    /** The buffer space for the overhead of zlib on incompressible data. */
    private static final int ZLIB_OVERHEAD_BYTES = 64;

    private static final Gson GSON = new Gson();

    private RolloutStateCodec() {}

    static String encode(RolloutState state) {
        String json = GSON.toJson(state);
        return json.length() < MIN_COMPRESSED_CHARS ? json : compress(json);
    }

    static RolloutState decode(String text) {
        String json = text.startsWith("{") ? text : decompress(text);
        return GSON.fromJson(json, RolloutState.class);
    }

    private static String compress(String json) {
        byte[] plain = json.getBytes(StandardCharsets.UTF_8);
        byte[] compressed = new byte[plain.length + ZLIB_OVERHEAD_BYTES];
        Deflater deflater = new Deflater();
        deflater.setInput(plain);
        deflater.finish();
        int length = deflater.deflate(compressed);
        deflater.end();
        return plain.length + ":" + Base64.getEncoder().encodeToString(Arrays.copyOf(compressed, length));
    }

    private static String decompress(String text) {
        int colon = text.indexOf(':');
        byte[] plain = new byte[Integer.parseInt(text.substring(0, colon))];
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(Base64.getDecoder().decode(text.substring(colon + 1)));
            inflater.inflate(plain);
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("not the text of a state", e);
        } finally {
            inflater.end();
        }
        return new String(plain, StandardCharsets.UTF_8);
    }
}
