package maplespread.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/** The affinity keys last sent to a worker by this dispatcher; the worker has probably cached their data sets. */
final class CachedKeys {
    /** Number of data sets that a worker caches for each of its slots. */
    private static final double KEYS_PER_SLOT = 1.4;

    private final Map<Long, Boolean> byLastUse = new LinkedHashMap<>(16, 0.75f, true);

    boolean contains(long keyHash) {
        return byLastUse.containsKey(keyHash);
    }

    /** Records that a request with this key (0: none) was sent to the worker, which has this number of slots. */
    void add(long keyHash, double slots) {
        if (keyHash != 0) {
            byLastUse.put(keyHash, true);
            if (byLastUse.size() > KEYS_PER_SLOT * slots) {
                byLastUse.remove(byLastUse.keySet().iterator().next());
            }
        }
    }
}
