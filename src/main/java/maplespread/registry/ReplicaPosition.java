package maplespread.registry;

import java.util.Arrays;
import java.util.List;

/**
 * How far the local copy of a registry has come: the revision held, by target the revision up to which every
 * change is held, and the last deleted key, by which a restored registry can be told from the one known. Not
 * thread-safe.
 */
final class ReplicaPosition {
    private final long[] reached;
    private Revision held; // null until something has been read
    private String lastDeletedKey; // null where the newest change is no deletion
    private int lastDeletedTarget;

    ReplicaPosition(int targets) {
        reached = new long[targets];
    }

    /** Whether nothing has been read yet. */
    boolean isEmpty() {
        return held == null;
    }

    /** The revision held; only where the position is not empty. */
    Revision held() {
        return held;
    }

    /** The number of the revision held; 0 where nothing has been read. */
    long number() {
        return held == null ? 0 : held.number();
    }

    /** The revision number up to which every change of the target is held. */
    long reached(int target) {
        return reached[target];
    }

    /** {@link #reached(int)} of every target, in order. */
    List<Long> reached() {
        return Arrays.stream(reached).boxed().toList();
    }

    /** Whether every target is held up to the revision number. */
    boolean allReached(long number) {
        return Arrays.stream(reached).allMatch(done -> done >= number);
    }

    /** Whether an answer of the revision may follow what is held. */
    boolean mayPrecede(Revision answered) {
        return held == null || held.mayPrecede(answered);
    }

    /** Everything has been read anew, at this revision. */
    void reset(Revision revision) {
        held = revision;
        Arrays.fill(reached, revision.number());
        lastDeletedKey = null;
    }

    /** Every change of the target is held up to the revision number. */
    void setReached(int target, long number) {
        reached[target] = number;
    }

    /** An answer has come whose changes are held up to the revision number. */
    void raise(Revision answered, long number) {
        held = new Revision(
                held.clusterId(), Math.max(held.number(), number), Math.max(held.raftTerm(), answered.raftTerm()));
    }

    /** Remembers the newest change, if it deleted its key. */
    void recordNewestChange(int target, RegistryEntry newest) {
        lastDeletedKey = newest.isDeleted() ? newest.key() : null;
        lastDeletedTarget = target;
    }

    /** The newest change is known not to be a deletion. */
    void clearLastDeletedKey() {
        lastDeletedKey = null;
    }

    /** The key that the newest change deleted; null where it deleted none. */
    String lastDeletedKey() {
        return lastDeletedKey;
    }

    /** Up to which revision number the target of the last deleted key is held; 0 where there is no such key. */
    long lastDeletedAt() {
        return lastDeletedKey == null ? 0 : reached[lastDeletedTarget];
    }
}
