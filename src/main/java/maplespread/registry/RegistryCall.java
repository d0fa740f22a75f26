package maplespread.registry;

import java.util.List;

/**
 * What a {@link RegistryWatcher} wants done next; {@code endpoint} is a place in the settings' list. After each
 * but the pause the core is told that it ended.
 */
public sealed interface RegistryCall {
    /** Nothing until then. */
    record Pause(long untilMs) implements RegistryCall {}

    /** A page of a part's keys behind {@code after}, at one revision (0: the present one). */
    record RangePage(int server, int target, String afterKey, long revision, int limit) implements RegistryCall {}

    /**
     * Whether the history held is the registry's: by part, how many keys there are at a revision and one of
     * them, and a key that had gone by then ({@code gone}, null: none).
     */
    record VerifyHistory(int server, List<HistoryProof> proofs, String deletedKey, long deletedAtRevision)
            implements RegistryCall {}

    /** Of each part how many keys it has now, and those changed after its revision of {@code held}. */
    record ReadMissedChanges(int server, List<Long> sinceRevisions) implements RegistryCall {}

    /** What of a part is looked at; {@code key} is null where the part is held to be empty. */
    record HistoryProof(long revision, String key) {}

    /** The changes of each part from these revisions on, until {@code cutAtMs} at most. */
    record Watch(int server, List<Long> fromRevisions, long endAtMs) implements RegistryCall {}

    /** Consul's blocking question: all of a part, once its index is above this one or the wait is over. */
    record BlockingQuery(int server, int target, long index, long waitMs, boolean consistent) implements RegistryCall {}
}
