package maplespread.consensus;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * Reads back, at the start of an incarnation, what the incarnations before it may have voted for: diskless recovery by
 * crash vectors (Michael, Ports, Sharma, Szekeres, DISC 2017). It ends once other members that form a majority of all
 * electors in force have reported: whatever was decided is among the reports, and whoever answered tells all others
 * that the earlier incarnations have ended.
 */
final class Recovery {
    /** In retry intervals: from then on a majority that does not recover is reported as lost. */
    private static final int LOST_AFTER_INTERVALS = 4;

    /** Never equal to an incarnation. */
    private static final long NO_INCARNATION = -1;

    private final NodeState state;
    private final Outbox outbox;
    private final long startedAt;
    private final Map<String, ConsensusMessage> responses = new TreeMap<>();
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

    /** Asks the electors again where it is time to, and ends the recovery where enough have answered. */
    void tick(long now) {
        if (!state.recovering()) {
            return;
        }
        if (now >= nextRequestAt) {
            requestStates();
            requestIntervalMs = Math.min(state.settings().maxRetryMs(), 2 * requestIntervalMs);
            nextRequestAt = now + requestIntervalMs;
        }
        tryComplete(now);
    }

    /** When to be called again at the latest, in milliseconds of the node's clock. */
    long nextTickAt() {
        return state.recovering() ? nextRequestAt : Long.MAX_VALUE;
    }

    private void requestStates() {
        Set<String> receivers = state.decidedElectors();
        receivers.addAll(state.settings().electors());
        receivers.addAll(state.otherMembers());
        receivers.remove(state.self());
        receivers.forEach(receiver -> outbox.send(receiver, Kind.RECOVERY_REQUEST, Ballot.NONE, null));
    }

    /** Reports this member's votes to one that recovers. */
    void answer(ConsensusMessage request) {
        ConsensusMessage response = outbox.message(
                Kind.RECOVERY_RESPONSE, Ballot.NONE, false, request.incarnation(), Map.of(), state.accepted());
        outbox.send(request.sender(), response);
    }

    /** Takes a report, if it answers a request of this very incarnation. */
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

    /** The others whose report counts: they have recovered, and the same electors are in force for them. */
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
     * Whether every elector of the settings has reported to this incarnation that it had accepted nothing. Whatever one
     * of them accepted since, it accepted knowing of this incarnation.
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

    /** From here on this incarnation votes. {@code how} names the way in the log. */
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
