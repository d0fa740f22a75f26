package maplespread.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/** The affinity keys that this dispatcher last sent to a worker, whose data sets it is likely to have cached. */
final class CachedKeys {
    /** Data sets that a worker keeps for each of its slots. */
    private static final double KEYS_PER_SLOT = 1.4;

    private final Map<Long, Boolean> byLastUse = new LinkedHashMap<>(16, 0.75f, true);

    boolean contains(long keyHash) {
        return byLastUse.containsKey(keyHash);
    }

    /** A request with this key (0: none) was sent to the worker, which has so many slots. */
    void add(long keyHash, double slots) {
        if (keyHash != 0) {
            byLastUse.put(keyHash, true);
            if (byLastUse.size() > KEYS_PER_SLOT * slots) {
                byLastUse.remove(byLastUse.keySet().iterator().next());
            }
        }
    }
}
