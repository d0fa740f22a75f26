package maplespread.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The probes that this member makes on behalf of others, by the sequence number of its own ping. */
final class IndirectProbes {
    /** Part of the acknowledgement timeout after which the requester is sent a NACK: it arrives before that is over. */
    private static final long NACK_NUMERATOR = 4;

    private static final long NACK_DENOMINATOR = 5;

    /**
     * A probe that was requested.
     *
     * @param requesterAddress where the answer goes
     * @param requesterSequence the number of the requester's probe
     * @param nackAt when the requester is told that there is no answer yet, in milliseconds
     */
    record IndirectProbe(String requesterAddress, long requesterSequence, long nackAt) {}

    private final Map<Long, IndirectProbe> bySequence = new TreeMap<>();
    private final long nackAfterMs;

    IndirectProbes(long ackTimeoutMs) {
        nackAfterMs = ackTimeoutMs * NACK_NUMERATOR / NACK_DENOMINATOR;
    }

    void add(long sequence, String requesterAddress, long requesterSequence, long now) {
        bySequence.put(sequence, new IndirectProbe(requesterAddress, requesterSequence, now + nackAfterMs));
    }

    /** Removes the probe that an acknowledgement answers; empty: it answers none. */
    Optional<IndirectProbe> acknowledged(long sequence) {
        return Optional.ofNullable(bySequence.remove(sequence));
    }

    /** Removes the probes that had no answer in time. */
    List<IndirectProbe> removeUnanswered(long now) {
        List<IndirectProbe> unanswered = new ArrayList<>();
        bySequence.values().removeIf(probe -> {
            boolean late = probe.nackAt() <= now;
            if (late) {
                unanswered.add(probe);
            }
            return late;
        });
        return unanswered;
    }

    void clear() {
        bySequence.clear();
    }

    /** When the next one is due, in milliseconds; {@link Long#MAX_VALUE}: none is. */
    long nextNackAt() {
        long next = Long.MAX_VALUE;
        for (IndirectProbe probe : bySequence.values()) {
            next = Math.min(next, probe.nackAt());
        }
        return next;
    }
}
