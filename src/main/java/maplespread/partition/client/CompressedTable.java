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

    static String compress(String text) {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(packed)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail so
        }
        return Base64.getEncoder().withoutPadding().encodeToString(packed.toByteArray());
    }

    /** An IllegalArgumentException where it is no such text. */
    static String decompress(String packed) {
        try (InflaterInputStream in = new InflaterInputStream(
                new ByteArrayInputStream(Base64.getDecoder().decode(packed)))) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
