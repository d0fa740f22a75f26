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
 * Reads and changes the agreed state of releases, which is one section of the replicated value. Thread-safe.
 */
final class AgreedState {
    private static final String SECTION = "release";
    /** After this time since the last contact, a majority may have decided changes that are unknown here. */
    private static final long CONTACT_VALID_MS = 3_000;
    /** After this time, no instance that lacks the current knowledge of this one has a valid contact. */
    static final long CONTACTS_EXPIRED_MS = CONTACT_VALID_MS + 1_000;

    private VersionedValue decodedValue;
    private RolloutState decodedState = RolloutState.EMPTY;
    private volatile boolean majorityReached;
    private volatile long lastContactMs;

    /** The state in the newest value passed so far; {@code value} is null where none is known. */
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

    /** Proposes a command to the newest value; blocks until it is decided or rejected, or until the timeout. */
    ChangeResult propose(ReplicatedRegister register, ReleaseCommand command, long timeoutMs) {
        return change(register, mutation(command), timeoutMs);
    }

    /** Reads the newest value from a majority; blocks as {@link #propose} does. */
    ChangeResult read(ReplicatedRegister register, long timeoutMs) {
        return change(register, Mutation.READ, timeoutMs);
    }

    /** The newest state, read from a majority; empty where none was reached in time. */
    Optional<RolloutState> readNewest(ReplicatedRegister register, long timeoutMs) {
        ChangeResult result = read(register, timeoutMs);
        return result.outcome() == ChangeResult.Outcome.DECIDED
                ? Optional.of(newestOf(result.value()))
                : Optional.empty();
    }

    private ChangeResult change(ReplicatedRegister register, Mutation mutation, long timeoutMs) {
        ChangeResult result = register.change(mutation, timeoutMs);
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

    /** Whether the last contact with a majority is recent enough to rely on the known state. */
    boolean isContactValid() {
        return MonotonicClock.nowMs() - lastContactMs <= CONTACT_VALID_MS;
    }
}
