package maplespread.consensus;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Names what is kept by its content: the first half of the SHA-256 of its bytes. */
record Digest(long high, long low) {
    /** On the wire. */
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
