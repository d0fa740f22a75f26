package maplespread.registry;

import java.util.List;

/**
 * What a {@link RegistryWatcher} wants done next. {@code server}: a number in the settings' list of endpoints;
 * {@code target}: a number in their list of followed prefixes or services. After each call but a pause the
 * watcher is told that it has ended.
 */
public sealed interface RegistryCall {
    /** Nothing is to be called until then. */
    record Pause(long untilMs) implements RegistryCall {}

    /** A page of a target's keys after {@code afterKey}, at one revision (0: the present one). */
    record RangePage(int server, int target, String afterKey, long revision, int limit) implements RegistryCall {}

    /**
     * Whether the history held is the registry's: by target how many keys there are at a revision and one of
     * them, and whether a key is there that was deleted by then (null: none is asked for).
     */
    record VerifyHistory(int server, List<HistoryProof> proofs, String deletedKey, long deletedAtRevision)
            implements RegistryCall {}

    /** What of a target is verified; the key is null where the target is held to be empty. */
    record HistoryProof(long revision, String key) {}

    /** By target how many keys it has now, and those changed after a revision. */
    record ReadMissedChanges(int server, List<Long> sinceRevisions) implements RegistryCall {}

    /** The changes of each target from these revisions on, until {@code endAtMs} at most. */
    record Watch(int server, List<Long> fromRevisions, long endAtMs) implements RegistryCall {}

    /** Consul's blocking query: all of a target, once its index is above this one or the wait is over. */
    record BlockingQuery(int server, int target, long index, long waitMs, boolean consistent) implements RegistryCall {}
}
