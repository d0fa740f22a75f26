package maplespread.consensus;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * Restores, at the start of an incarnation, the votes that earlier incarnations may have cast: diskless recovery with
 * crash vectors (Michael, Ports, Sharma, Szekeres, DISC 2017). Recovery ends once other members that form a majority of
 * the current electors have reported. Their reports include every decided state, and from then on their crash vectors
 * inform the other members that the earlier incarnations have ended.
 */
final class Recovery {
    /** Time until a majority in recovery is reported as lost, in multiples of the maximum retry interval. */
    private static final int LOST_AFTER_INTERVALS = 4;

    /** Placeholder that differs from every incarnation. */
    private static final long NO_INCARNATION = -1;

    private final NodeState state;
    private final Outbox outbox;
    private final long startedAt;

    /** The latest response of each member, by name. */
    private final Map<String, ConsensusMessage> responses = new TreeMap<>();

    /** The incarnation of each member that reported no accepted state and the same configured electors, by name. */
    private final Map<String, Long> emptyIncarnations = new TreeMap<>();

    private long nextRequestAt;
    private long requestIntervalMs;

    Recovery(NodeState state, Outbox outbox, long now) {
        this.state = state;
        this.outbox = outbox;
        startedAt = now;
        nextRequestAt = now;
        requestIntervalMs = state.settings().retryMs();
    }

    /** Repeats the requests when they are due, and completes the recovery once enough members have answered. */
    void tick(long now) {
        if (!state.recovering()) {
            return;
        }
        if (now >= nextRequestAt) {
            requestVotes();
            requestIntervalMs = Math.min(state.settings().maxRetryMs(), 2 * requestIntervalMs);
            nextRequestAt = now + requestIntervalMs;
        }
        tryComplete(now);
    }

    /** The time by which the next tick is needed, in milliseconds of the node's clock. */
    long nextTickAt() {
        return state.recovering() ? nextRequestAt : Long.MAX_VALUE;
    }

    private void requestVotes() {
        Set<String> receivers = state.decidedElectors();
        receivers.addAll(state.settings().electors());
        receivers.addAll(state.otherMembers());
        receivers.remove(state.self());
        receivers.forEach(receiver -> outbox.send(receiver, Kind.RECOVERY_REQUEST, Ballot.NONE, null));
    }

    /** Sends this member's votes to a recovering member. */
    void answer(ConsensusMessage request) {
        ConsensusMessage response = outbox.message(
                Kind.RECOVERY_RESPONSE, Ballot.NONE, false, request.incarnation(), Map.of(), state.accepted());
        outbox.send(request.sender(), response);
    }

    /** Handles a response if it answers a request of this incarnation; others are ignored. */
    void responded(ConsensusMessage response) {
        if (!state.recovering() || response.requesterIncarnation() != state.incarnation()) {
            return;
        }
        responses.put(response.sender(), response);
        if (response.accepted() == null && outbox.hasSameSettings(response)) {
            emptyIncarnations.put(response.sender(), response.incarnation());
        }
    }

    private void tryComplete(long now) {
        responses.values().removeIf(response -> !state.isCurrent(response.sender(), response.incarnation()));
        AcceptedState newest = newestReported();
        List<List<String>> lists = state.electorLists(newest);
        long elapsedMs = now - startedAt;
        if (ElectorLists.haveMajorities(lists, recoveredElectors(newest))) {
            complete(newest, highestPromise(), "read");
        } else if (newest == null && elapsedMs >= state.settings().maxRetryMs() && isFirstStart()) {
            complete(null, highestPromise(), "new");
        } else if (newest != null
                && elapsedMs > LOST_AFTER_INTERVALS * state.settings().maxRetryMs()
                && responses.keySet().containsAll(otherElectors(lists))) {
            outbox.warnOnce(
                    "consensus.value_lost", "epoch", newest.state().value().epoch(), "electors", lists);
        }
    }

    private AcceptedState newestReported() {
        AcceptedState newest = state.accepted();
        for (ConsensusMessage response : responses.values()) {
            newest = AcceptedState.isLater(response.accepted(), newest) ? response.accepted() : newest;
        }
        return newest;
    }

    private Ballot highestPromise() {
        Ballot highest = state.promised();
        for (ConsensusMessage response : responses.values()) {
            highest = Ballot.max(highest, response.promisedBallot());
        }
        return highest;
    }

    /** The other members whose report counts: they are not recovering and use the same electors. */
    private Set<String> recoveredElectors(AcceptedState newest) {
        Set<String> recovered = new TreeSet<>();
        for (ConsensusMessage response : responses.values()) {
            if (!response.recovering() && (newest != null || outbox.hasSameSettings(response))) {
                recovered.add(response.sender());
            }
        }
        recovered.remove(state.self());
        return recovered;
    }

    /**
     * Whether every configured elector has reported to this incarnation that it had accepted no state. Anything that an
     * elector accepted after its report, it accepted with knowledge of this incarnation.
     */
    private boolean isFirstStart() {
        List<String> electors = state.settings().electors();
        return electors.contains(state.self())
                && electors.stream().allMatch(name -> name.equals(state.self()) || isEmpty(name));
    }

    private boolean isEmpty(String elector) {
        return state.isCurrent(elector, emptyIncarnations.getOrDefault(elector, NO_INCARNATION));
    }

    private Set<String> otherElectors(List<List<String>> lists) {
        Set<String> names = ElectorLists.names(lists);
        names.remove(state.self());
        return names;
    }

    /**
     * Completes the recovery; this incarnation votes from now on.
     *
     * @param newest the restored accepted state; null if there is none
     * @param highestPromise the restored promise
     * @param how how the state was restored, for the log
     */
    void complete(AcceptedState newest, Ballot highestPromise, String how) {
        state.recover(newest, highestPromise);
        responses.clear();
        Long version = newest == null ? null : newest.state().value().version();
        outbox.info("consensus.recovered", "by", how, "version", version);
    }

    @Override
    public String toString() {
        return state.recovering() ? "responses " + responses.values() + " empty " + emptyIncarnations : "done";
    }
}
