package maplespread.consensus;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** What a caller has asked for, until it has its result. One is in work at a time; it may take several rounds. */
final class PendingChange {
    private final Mutation mutation;
    private final Optional<List<String>> targetElectors;
    private final boolean bootstrap;
    private final long number;
    private final long giveUpAt;
    private final Consumer<ChangeResult> callback;
    private long bootstrapEpoch;
    private boolean attempted;
    private long firstAttemptEpoch;
    private long firstAttemptVersion;
    private Exception rejection;

    private PendingChange(
            Mutation mutation,
            Optional<List<String>> targetElectors,
            boolean bootstrap,
            long number,
            long giveUpAt,
            Consumer<ChangeResult> callback) {
        this.mutation = mutation;
        this.targetElectors = targetElectors;
        this.bootstrap = bootstrap;
        this.number = number;
        this.giveUpAt = giveUpAt;
        this.callback = callback;
    }

    /** A change of the value, or a read. */
    static PendingChange ofValue(Mutation mutation, long number, long giveUpAt, Consumer<ChangeResult> callback) {
        return new PendingChange(mutation, Optional.empty(), false, number, giveUpAt, callback);
    }

    /** A move to other electors. */
    static PendingChange ofElectors(List<String> target, long number, long giveUpAt, Consumer<ChangeResult> callback) {
        return new PendingChange(Mutation.READ, Optional.of(target), false, number, giveUpAt, callback);
    }

    /** A bootstrap with these electors, whose value has at least this epoch. */
    static PendingChange ofBootstrap(
            List<String> electors, long epoch, long number, long giveUpAt, Consumer<ChangeResult> callback) {
        PendingChange change =
                new PendingChange(Mutation.READ, Optional.of(electors), true, number, giveUpAt, callback);
        change.bootstrapEpoch = epoch;
        return change;
    }

    /** A change of the value, or {@link Mutation#READ} where only electors change. */
    Mutation mutation() {
        return mutation;
    }

    /** The electors to move to, or to bootstrap with. */
    Optional<List<String>> targetElectors() {
        return targetElectors;
    }

    boolean isBootstrap() {
        return bootstrap;
    }

    /** Counts the changes of this incarnation. */
    long number() {
        return number;
    }

    /** When its caller is told that no majority has decided it, in milliseconds of the node's clock. */
    long giveUpAt() {
        return giveUpAt;
    }

    /** Least epoch of what a bootstrap writes; the epoch that it wrote, once it was attempted. */
    long bootstrapEpoch() {
        return bootstrapEpoch;
    }

    /** Whether votes were asked for a state that has this change in it: it may be decided without its proposer. */
    boolean attempted() {
        return attempted;
    }

    /** A first attempt proposes this change on top of the value; later ones do not count. */
    void attemptOn(VersionedValue base) {
        if (!attempted) {
            attempted = true;
            firstAttemptEpoch = base.epoch();
            firstAttemptVersion = base.version();
        }
    }

    /** A first attempt bootstraps under this epoch; later ones do not count. */
    void attemptBootstrap(long epoch) {
        if (!attempted) {
            attempted = true;
            bootstrapEpoch = epoch;
        }
    }

    /**
     * Whether so much has been decided since the first attempt that the value need not list this change any more, though
     * it may be in it.
     */
    boolean isUntraceableIn(VersionedValue value) {
        return attempted
                && (value.epoch() != firstAttemptEpoch
                        || value.version() - firstAttemptVersion >= RegisterState.MAX_APPLIED_CHANGES);
    }

    /** What the mutation threw when it was applied last; null: it did not. */
    Exception rejection() {
        return rejection;
    }

    void setRejection(Exception error) {
        rejection = error;
    }

    /** Whether a decided state leaves nothing to do; a move of electors may need further steps. */
    boolean isCompleteIn(RegisterState decided) {
        return bootstrap
                || targetElectors.isEmpty()
                || decided.previousElectors().isEmpty()
                        && ElectorLists.sameElectors(decided.value().electors(), targetElectors.get());
    }

    /** The result where a state with this change in it was decided. */
    ChangeResult resultIn(VersionedValue value) {
        return new ChangeResult(
                rejection != null ? ChangeResult.Outcome.REJECTED : ChangeResult.Outcome.DECIDED, value, rejection);
    }

    void complete(ChangeResult result) {
        callback.accept(result);
    }
}
