package maplespread.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The most recently used states of this member, by digest. */
final class StateCache {
    private static final int MAX_STATES = 8;

    private final Map<Digest, RegisterState> states = new BoundedMap<>(MAX_STATES);

    /** A map that evicts the least recently used entry. */
    static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;
        private static final int INITIAL_CAPACITY = 16;
        private static final float LOAD_FACTOR = 0.75f;

        private final int maxSize;

        BoundedMap(int maxSize) {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
            this.maxSize = maxSize;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > maxSize;
        }
    }

    /** The state with this digest; null if it is not cached. */
    RegisterState get(Digest digest) {
        return states.get(digest);
    }

    /** Returns the digest of a state and caches the state. The digest of a cached object is not computed again. */
    Digest digestOf(RegisterState state) {
        for (Map.Entry<Digest, RegisterState> entry : states.entrySet()) {
            if (entry.getValue() == state) { // by identity: comparing texts costs as much as a digest
                Digest digest = entry.getKey();
                states.get(digest); // marks the entry as used
                return digest;
            }
        }
        Digest digest = Digest.of(MessageFormat.encode(state));
        states.put(digest, state);
        return digest;
    }

    /** The digests of the most recently used states, in ascending order of use. */
    List<Digest> latest(int maxDigests) {
        List<Digest> digests = new ArrayList<>(states.keySet());
        return digests.subList(Math.max(0, digests.size() - maxDigests), digests.size());
    }
}
