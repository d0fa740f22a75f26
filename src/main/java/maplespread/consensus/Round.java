package maplespread.consensus;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.consensus.RegisterState.AcceptedState;

/** A proposer's attempt under one ballot: promises are collected first, then acceptances of the proposed state. */
final class Round {
    private final Ballot ballot;
    private final boolean newEpoch;
    private final long startedAt;
    private final long endsAt;
    private final Set<String> contacted = new TreeSet<>();
    private final Set<String> refusals = new HashSet<>();
    private final Map<String, ConsensusMessage> promises = new TreeMap<>();
    private final Map<String, Long> acceptances = new TreeMap<>();
    private RegisterState proposed;

    /** {@code newEpoch}: the ballot's epoch is above every one seen, so that a first value may begin in it. */
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

    /** When it has failed for lack of answers, in milliseconds of the node's clock. */
    long endsAt() {
        return endsAt;
    }

    /** Who was asked for a promise. */
    Set<String> contacted() {
        return contacted;
    }

    /** Who has refused the ballot. */
    Set<String> refusals() {
        return refusals;
    }

    /** By the elector that sent it. */
    Map<String, ConsensusMessage> promises() {
        return promises;
    }

    /** The incarnation of each elector that has accepted. */
    Map<String, Long> acceptances() {
        return acceptances;
    }

    /** The state that the electors were asked to accept; null: promises are still awaited. */
    RegisterState proposed() {
        return proposed;
    }

    void propose(RegisterState next) {
        proposed = next;
    }

    boolean isPreparing() {
        return proposed == null;
    }

    /** Whether this message answers the round. */
    boolean isAnsweredBy(ConsensusMessage message) {
        return ballot.equals(message.ballot());
    }

    /** Promises of ended incarnations count for nothing, as the next one may have forgotten them. */
    void dropEndedPromises(NodeState state) {
        promises.values().removeIf(promise -> !state.isCurrent(promise.sender(), promise.incarnation()));
    }

    /** Acceptances of ended incarnations count for nothing either. */
    void dropEndedAcceptances(NodeState state) {
        acceptances.entrySet().removeIf(entry -> !state.isCurrent(entry.getKey(), entry.getValue()));
    }

    /** The newest state that a promise reports; null: none reports any. */
    AcceptedState newestReported() {
        AcceptedState newest = null;
        for (ConsensusMessage promise : promises.values()) {
            newest = AcceptedState.isLater(promise.accepted(), newest) ? promise.accepted() : newest;
        }
        return newest;
    }

    /** The incarnations whose promises the proposal rests on. */
    Map<String, Long> promiseQuorum() {
        Map<String, Long> quorum = new TreeMap<>();
        promises.forEach((name, promise) -> quorum.put(name, promise.incarnation()));
        return quorum;
    }

    /** Who has promised and does not recover. */
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
                + " refusals " + refusals;
    }
}
