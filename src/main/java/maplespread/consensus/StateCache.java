package maplespread.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The states that this member has used last, by digest. */
final class StateCache {
    private static final int MAX_STATES = 8;

    private final Map<Digest, RegisterState> states = new BoundedMap<>(MAX_STATES);

    /** A map that drops the entry which was used least recently. */
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

    /** The state with this digest; null: it is not held. */
    RegisterState get(Digest digest) {
        return states.get(digest);
    }

    /** The digest of a state, which is held from now on. The same object is not digested twice. */
    Digest digestOf(RegisterState state) {
        for (Map.Entry<Digest, RegisterState> entry : states.entrySet()) {
            if (entry.getValue() == state) { // by identity: to compare texts would cost as much as a digest
                Digest digest = entry.getKey();
                states.get(digest); // marks it as used
                return digest;
            }
        }
        Digest digest = Digest.of(MessageFormat.encode(state));
        states.put(digest, state);
        return digest;
    }

    /** The digests of the states used last, the latest one last. */
    List<Digest> latest(int maxDigests) {
        List<Digest> digests = new ArrayList<>(states.keySet());
        return digests.subList(Math.max(0, digests.size() - maxDigests), digests.size());
    }
}
