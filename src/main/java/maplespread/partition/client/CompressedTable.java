package maplespread.partition.client;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** A table's text as the agreed value holds it: that must fit into one packet, with the table before it. */
final class CompressedTable {
    private CompressedTable() {}

    /** Deflated, as Base64 without padding. */
    static String compress(String text) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(compressed)) {
            deflater.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // writing to memory does not fail
        }
        return Base64.getEncoder().withoutPadding().encodeToString(compressed.toByteArray());
    }

    /** Throws an IllegalArgumentException for a text that {@link #compress} has not made. */
    static String decompress(String compressed) {
        byte[] bytes = Base64.getDecoder().decode(compressed);
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            return new String(inflater.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
