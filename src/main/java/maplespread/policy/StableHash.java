package maplespread.policy;

/**
 * A hash of strings that is the same in every process and release, so that all dispatchers agree on a key's primary
 * worker, on subsets and on slots without exchanging messages. Stateless.
 */
public final class StableHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER = 0xd6e8feb86659fd93L;

    private StableHash() {}

    /** FNV-1a over the string's UTF-16 code units, followed by {@link #mix}. */
    public static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Mixes the bits of a hash, so that each bit depends on all of them. */
    static long mix(long hash) {
        long mixed = (hash ^ hash >>> 32) * MIX_MULTIPLIER;
        mixed = (mixed ^ mixed >>> 32) * MIX_MULTIPLIER;
        return mixed ^ mixed >>> 32;
    }
}
