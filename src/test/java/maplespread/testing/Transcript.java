package maplespread.testing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/** Everything that a simulated run sends and reports, in order, reduced to counts and one SHA-256. */
public final class Transcript {
    private static final int DIGEST_BYTES = 16;
    private final MessageDigest digest;
    private final Map<String, Integer> counts = new TreeMap<>();

    /** An empty transcript. */
    public Transcript() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Adds one entry; byte arrays count by their content, everything else by its text. */
    public void add(String kind, Object... parts) {
        counts.merge(kind, 1, Integer::sum);
        digest.update(kind.getBytes(StandardCharsets.UTF_8));
        for (Object part : parts) {
            String text = part instanceof byte[] bytes ? HexFormat.of().formatHex(bytes) : String.valueOf(part);
            digest.update(("|" + text).getBytes(StandardCharsets.UTF_8));
        }
        digest.update((byte) '\n');
    }

    /** The number of entries of each kind and the first half of the digest of all of them. */
    public String summary() {
        return counts + " " + HexFormat.of().formatHex(Arrays.copyOf(digest.digest(), DIGEST_BYTES));
    }
}
