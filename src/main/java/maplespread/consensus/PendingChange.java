package maplespread.consensus;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A submitted change without a result yet. One change is processed at a time, possibly in several rounds. */
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

    /** A bootstrap with these electors; the new value has at least the given epoch. */
    static PendingChange ofBootstrap(
            List<String> electors, long epoch, long number, long giveUpAt, Consumer<ChangeResult> callback) {
        PendingChange change =
                new PendingChange(Mutation.READ, Optional.of(electors), true, number, giveUpAt, callback);
        change.bootstrapEpoch = epoch;
        return change;
    }

    /** The change of the value; {@link Mutation#READ} if only the electors change. */
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

    /** Sequence number among the changes of this incarnation. */
    long number() {
        return number;
    }

    /** Time at which an undecided change ends without a majority, in milliseconds of the node's clock. */
    long giveUpAt() {
        return giveUpAt;
    }

    /** Minimum epoch of a bootstrap; after the first attempt, the epoch of that attempt. */
    long bootstrapEpoch() {
        return bootstrapEpoch;
    }

    /** Whether a state with this change was proposed; the change may then be decided without its proposer. */
    boolean attempted() {
        return attempted;
    }

    /** Records the value that the first attempt of this change is based on; later attempts are not recorded. */
    void recordAttempt(VersionedValue base) {
        if (!attempted) {
            attempted = true;
            firstAttemptEpoch = base.epoch();
            firstAttemptVersion = base.version();
        }
    }

    /** Records the epoch of the first attempt of a bootstrap; later attempts are not recorded. */
    void recordBootstrapAttempt(long epoch) {
        if (!attempted) {
            attempted = true;
            bootstrapEpoch = epoch;
        }
    }

    /**
     * Whether so many changes were decided since the first attempt that the value may include this change without
     * listing it any more.
     */
    boolean isUntraceableIn(VersionedValue value) {
        return attempted
                && (value.epoch() != firstAttemptEpoch
                        || value.version() - firstAttemptVersion >= RegisterState.MAX_APPLIED_CHANGES);
    }

    /** The exception that the mutation threw when it was last applied; null if none. */
    Exception rejection() {
        return rejection;
    }

    void setRejection(Exception error) {
        rejection = error;
    }

    /** Whether the change is complete in a decided state; a replacement of electors may need further steps. */
    boolean isCompleteIn(RegisterState decided) {
        return bootstrap
                || targetElectors.isEmpty()
                || decided.previousElectors().isEmpty()
                        && ElectorLists.sameElectors(decided.value().electors(), targetElectors.get());
    }

    /** The result after a state with this change was decided, or with the value that its rejection is based on. */
    ChangeResult resultIn(VersionedValue value) {
        return new ChangeResult(
                rejection != null ? ChangeResult.Outcome.REJECTED : ChangeResult.Outcome.DECIDED, value, rejection);
    }

    void complete(ChangeResult result) {
        callback.accept(result);
    }
}
