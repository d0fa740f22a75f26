package maplespread.consensus;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.consensus.RegisterState.AcceptedState;

/** A proposer's round under one ballot: collects promises first, then acceptances of the proposed state. */
final class Round {
    private final Ballot ballot;
    private final boolean newEpoch;
    private final long startedAt;
    private final long endsAt;
    private final Set<String> contacted = new TreeSet<>();
    private final Set<String> rejections = new HashSet<>();
    private final Map<String, ConsensusMessage> promises = new TreeMap<>();
    private final Map<String, Long> acceptances = new TreeMap<>();
    private RegisterState proposed;

    /**
     * Creates a round that awaits promises.
     *
     * @param newEpoch whether the ballot's epoch is above every known one, so that a first value may be proposed
     * @param startedAt start of the round, in milliseconds of the node's clock
     * @param endsAt time at which the round fails for lack of answers, in milliseconds of the node's clock
     */
    Round(Ballot ballot, boolean newEpoch, long startedAt, long endsAt) {
        this.ballot = ballot;
        this.newEpoch = newEpoch;
        this.startedAt = startedAt;
        this.endsAt = endsAt;
    }

    Ballot ballot() {
        return ballot;
    }

    boolean newEpoch() {
        return newEpoch;
    }

    long startedAt() {
        return startedAt;
    }

    /** Time at which the round fails for lack of answers, in milliseconds of the node's clock. */
    long endsAt() {
        return endsAt;
    }

    /** The members that were sent a PREPARE. */
    Set<String> contacted() {
        return contacted;
    }

    /** The electors that have rejected the round. */
    Set<String> rejections() {
        return rejections;
    }

    /** The promises received, by the name of their sender. */
    Map<String, ConsensusMessage> promises() {
        return promises;
    }

    /** The incarnation of each elector that has accepted the proposal, by name. */
    Map<String, Long> acceptances() {
        return acceptances;
    }

    /** The state that the electors were asked to accept; null while promises are awaited. */
    RegisterState proposed() {
        return proposed;
    }

    void propose(RegisterState next) {
        proposed = next;
    }

    boolean isPreparing() {
        return proposed == null;
    }

    /** Whether this message answers a request of this round. */
    boolean isAnsweredBy(ConsensusMessage message) {
        return ballot.equals(message.ballot());
    }

    /** Drops the promises of ended incarnations: the later incarnation may not know of them. */
    void dropEndedPromises(NodeState state) {
        promises.values().removeIf(promise -> !state.isCurrent(promise.sender(), promise.incarnation()));
    }

    /** Drops the acceptances of ended incarnations, for the same reason. */
    void dropEndedAcceptances(NodeState state) {
        acceptances.entrySet().removeIf(entry -> !state.isCurrent(entry.getKey(), entry.getValue()));
    }

    /** The newest accepted state reported in a promise; null if none. */
    AcceptedState newestReported() {
        AcceptedState newest = null;
        for (ConsensusMessage promise : promises.values()) {
            newest = AcceptedState.isLater(promise.accepted(), newest) ? promise.accepted() : newest;
        }
        return newest;
    }

    /** The incarnations whose promises the proposal is based on, by name. */
    Map<String, Long> promiseQuorum() {
        Map<String, Long> quorum = new TreeMap<>();
        promises.forEach((name, promise) -> quorum.put(name, promise.incarnation()));
        return quorum;
    }

    /** The electors that have promised and are not in recovery. */
    Set<String> recoveredPromisers() {
        Set<String> recovered = new HashSet<>();
        promises.forEach((name, promise) -> {
            if (!promise.recovering()) {
                recovered.add(name);
            }
        });
        return recovered;
    }

    @Override
    public String toString() {
        return ballot + " promises " + promises.values() + " proposed " + proposed + " acceptances " + acceptances
                + " rejections " + rejections;
    }
}
