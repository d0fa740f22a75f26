package maplespread.consensus;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a state by its content: the first 128 bits of the SHA-256 of its bytes.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
record Digest(long high, long low) {
    /** Length of a digest in a message. */
    static final int BYTES = 16;

    static Digest of(byte[] content) {
        try {
            ByteBuffer hash =
                    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(content));
            return new Digest(hash.getLong(), hash.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    static Digest read(ByteBuffer in) {
        return new Digest(in.getLong(), in.getLong());
    }

    void write(ByteBuffer out) {
        out.putLong(high).putLong(low);
    }
}
