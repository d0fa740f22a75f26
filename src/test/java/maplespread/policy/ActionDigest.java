package maplespread.policy;

import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.security.DigestOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/** A hash of a policy's actions, with the exact bits of their arguments, and a count of each kind of action. */
final class ActionDigest {
    private final MessageDigest digest;
    private final DataOutputStream hashed;
    private final Map<String, Integer> counts = new TreeMap<>();

    ActionDigest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        hashed = new DataOutputStream(new DigestOutputStream(OutputStream.nullOutputStream(), digest));
    }

    void count(String action) {
        counts.merge(action, 1, Integer::sum);
    }

    void put(char kind, long nowUs, long first, long second) {
        try {
            hashed.writeByte(kind);
            hashed.writeLong(nowUs);
            hashed.writeLong(first);
            hashed.writeLong(second);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns all counts and the hash. To be called once, after the last action. */
    String summary(long events) {
        StringBuilder line = new StringBuilder("events=" + events);
        counts.forEach(
                (action, count) -> line.append(' ').append(action).append('=').append(count));
        return line.append(" sha256=")
                .append(HexFormat.of().formatHex(digest.digest()))
                .toString();
    }
}
