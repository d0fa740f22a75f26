package maplespread.http;

import java.util.Arrays;

/** Collects a message's body in one array, which it hands over without a copy where its length is right. */
public final class BodyBuffer implements HttpParser.Body {
    private static final byte[] EMPTY = {};

    private byte[] bytes = EMPTY;
    private int size;

    @Override
    public void accept(byte[] from, int at, int length) {
        if (size + length > bytes.length) {
            bytes = Arrays.copyOf(bytes, newCapacity(size + length));
        }
        System.arraycopy(from, at, bytes, size, length);
        size += length;
    }

    /** Doubles, but not beyond the largest body of a request, which is then handed over as it is. */
    private int newCapacity(int needed) {
        int doubled = Math.min(2 * bytes.length, HttpParser.MAX_BODY_BYTES);
        return Math.max(needed, doubled);
    }

    /** Returns the body and forgets it. */
    public byte[] take() {
        byte[] body = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        bytes = EMPTY;
        size = 0;
        return body;
    }
}
