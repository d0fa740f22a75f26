package maplespread.registry;

import java.util.List;

/**
 * What a {@link RegistryCore} wants done next; {@code endpoint} is a place in the settings' list. After each
 * but the pause the core is told that it ended.
 */
public sealed interface Ask {
    /** Nothing until then. */
    record Pause(long untilMs) implements Ask {}

    /** A page of a part's keys behind {@code after}, at one revision (0: the present one). */
    record Range(int endpoint, int part, String after, long revision, int limit) implements Ask {}

    /**
     * Whether the history held is the registry's: by part, how many keys there are at a revision and one of
     * them, and a key that had gone by then ({@code gone}, null: none).
     */
    record Check(int endpoint, List<Proof> proofs, String gone, long goneAt) implements Ask {}

    /** Of each part how many keys it has now, and those changed after its revision of {@code held}. */
    record Missed(int endpoint, List<Long> held) implements Ask {}

    /** What of a part is looked at; {@code key} is null where the part is held to be empty. */
    record Proof(long revision, String key) {}

    /** The changes of each part from these revisions on, until {@code cutAtMs} at most. */
    record Watch(int endpoint, List<Long> from, long cutAtMs) implements Ask {}

    /** Consul's blocking question: all of a part, once its index is above this one or the wait is over. */
    record Question(int endpoint, int part, long index, long waitMs, boolean consistent) implements Ask {}
}
