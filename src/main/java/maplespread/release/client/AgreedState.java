package maplespread.release.client;

import java.util.Optional;
import maplespread.cluster.SharedState;
import maplespread.consensus.ChangeRejectedException;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.Mutation;
import maplespread.consensus.VersionedValue;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.release.ReleaseCommand;
import maplespread.release.ReleaseRejectedException;
import maplespread.release.RolloutState;

/**
 * The agreed state about releases, as this instance reads and changes it in the register, where it is one section of
 * the value. Thread-safe.
 */
final class AgreedState {
    private static final String SECTION = "release";
    /** A majority that was reached longer ago may have decided something else since. */
    private static final long CONTACT_VALID_MS = 3_000;
    /** By then no instance's contact is valid any more that does not know what this one knows. */
    static final long CONTACTS_EXPIRED_MS = CONTACT_VALID_MS + 1_000;

    private VersionedValue decodedValue;
    private RolloutState decodedState = RolloutState.EMPTY;
    private volatile boolean majorityReached;
    private volatile long lastContactMs;

    /** The state in the newest value that was passed here; {@code value}: null where none is known. */
    synchronized RolloutState newestOf(VersionedValue value) {
        if (value != null && value.isLaterThan(decodedValue)) {
            decodedState = RolloutState.parse(SharedState.read(value.text(), SECTION));
            decodedValue = value;
        }
        return decodedState;
    }

    /** The newest state that {@link #newestOf} has decoded. */
    synchronized RolloutState newest() {
        return decodedState;
    }

    /** Proposes a command to the newest value; blocks until it is decided or rejected, or the time is over. */
    ChangeResult propose(ReplicatedRegister register, ReleaseCommand command, long waitMs) {
        return change(register, mutation(command), waitMs);
    }

    /** Reads the newest value from a majority; blocks as {@link #propose} does. */
    ChangeResult read(ReplicatedRegister register, long waitMs) {
        return change(register, Mutation.READ, waitMs);
    }

    /** The newest state by a majority; empty where none was reached in time. */
    Optional<RolloutState> readNewest(ReplicatedRegister register, long waitMs) {
        ChangeResult result = read(register, waitMs);
        return result.outcome() == ChangeResult.Outcome.DECIDED
                ? Optional.of(newestOf(result.value()))
                : Optional.empty();
    }

    private ChangeResult change(ReplicatedRegister register, Mutation mutation, long waitMs) {
        ChangeResult result = register.change(mutation, waitMs);
        majorityReached = result.outcome() != ChangeResult.Outcome.NO_MAJORITY;
        if (majorityReached) {
            lastContactMs = MonotonicClock.nowMs();
        }
        return result;
    }

    private static Mutation mutation(ReleaseCommand command) {
        return value -> {
            RolloutState state = RolloutState.parse(SharedState.read(value.text(), SECTION));
            try {
                RolloutState next = command.apply(state);
                return next.equals(state) ? value.text() : SharedState.write(value.text(), SECTION, next.toText());
            } catch (ReleaseRejectedException e) {
                throw new ChangeRejectedException(e.problem(), e.unaffected(), e.remedy());
            }
        };
    }

    /** Whether the last read or change has reached a majority. */
    boolean majorityReached() {
        return majorityReached;
    }

    /** Whether a majority was reached so recently that this instance knows what it had decided until then. */
    boolean isContactValid() {
        return MonotonicClock.nowMs() - lastContactMs <= CONTACT_VALID_MS;
    }
}
