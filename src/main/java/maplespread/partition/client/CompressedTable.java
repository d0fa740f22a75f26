package maplespread.partition.client;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * The compressed form of a table's text in the replicated value. The value must fit into one packet together with the
 * current and the previous table.
 */
final class CompressedTable {
    private CompressedTable() {}

    /** Deflates the text and encodes the result as Base64 without padding. */
    static String compress(String text) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(compressed)) {
            deflater.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // writing to memory does not fail
        }
        return Base64.getEncoder().withoutPadding().encodeToString(compressed.toByteArray());
    }

    /** Throws an IllegalArgumentException for a text that {@link #compress} did not produce. */
    static String decompress(String compressed) {
        byte[] bytes = Base64.getDecoder().decode(compressed);
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            return new String(inflater.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
