package maplespread.consensus;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * Runs this member's pending changes to a decision, one at a time, in rounds. A round collects promises for its ballot,
 * applies the change to the newest state reported in them, and asks the electors to accept the result. A failed round
 * is retried after a random backoff.
 */
final class Proposer {
    /** Maximum number of times the round timeout is doubled, before the limit from the settings is applied. */
    private static final int MAX_TIMEOUT_DOUBLINGS = 10;

    /** Timeout of a bootstrap round, in multiples of the maximum retry interval; recovering members answer as well. */
    private static final int BOOTSTRAP_ROUND_INTERVALS = 2;

    private final NodeState state;
    private final Outbox outbox;
    private final Learner learner;
    private final SplittableRandom random;
    private final ArrayDeque<PendingChange> pending = new ArrayDeque<>();
    private long changeCount;

    /** Rounds that failed in a row; reset when a round is closed without failure. */
    private long failedRounds;

    /** Earliest start of the next round, in milliseconds of the node's clock. */
    private long retryNotBefore;

    Proposer(NodeState state, Outbox outbox, Learner learner, SplittableRandom random) {
        this.state = state;
        this.outbox = outbox;
        this.learner = learner;
        this.random = random;
    }

    /** Returns the number of the next change. Numbers ascend in the order of the calls. */
    long nextNumber() {
        return ++changeCount;
    }

    void submit(PendingChange change) {
        pending.add(change);
    }

    boolean isIdle() {
        return pending.isEmpty();
    }

    int pendingCount() {
        return pending.size();
    }

    // ------------------------------------------------------------ time

    /** Completes the changes whose deadline has passed with NO_MAJORITY; they may still be decided later. */
    void expire(long now) {
        for (PendingChange change : List.copyOf(pending)) {
            if (now < change.giveUpAt()) {
                continue;
            }
            if (change == pending.peek()) {
                closeRound();
            }
            if (pending.remove(change)) { // false if the callback of another change has completed it
                change.complete(expired());
            }
        }
    }

    private ChangeResult expired() {
        return new ChangeResult(
                ChangeResult.Outcome.NO_MAJORITY,
                state.decidedValue(),
                new QuorumLostException("no majority of " + state.electorLists(state.decided()) + " decided in time"));
    }

    /** Proposes in a bootstrap round that has waited long enough for slow members, and fails a round that timed out. */
    void checkRound(long now) {
        Round round = state.openRound();
        if (round != null && round.isPreparing() && pending.peek().isBootstrap()) {
            tryPropose(now);
        }
        if (state.openRound() != null && now >= state.openRound().endsAt()) {
            fail(now);
        }
    }

    /** Begins a round if none is open, a change is pending and the backoff has elapsed. */
    void startIfDue(long now) {
        if (state.openRound() == null && !pending.isEmpty() && now >= retryNotBefore) {
            begin(now, false);
        }
    }

    /** The time by which the next tick is needed, in milliseconds of the node's clock. */
    long nextTickAt(long now) {
        long next = Long.MAX_VALUE;
        for (PendingChange change : pending) {
            next = Math.min(next, change.giveUpAt());
        }
        if (state.openRound() != null) {
            boolean waitsForSlowMembers = pending.peek().isBootstrap();
            long roundAt = waitsForSlowMembers
                    ? now + state.settings().retryMs()
                    : state.openRound().endsAt();
            return Math.min(next, roundAt);
        }
        return pending.isEmpty() ? next : Math.min(next, retryNotBefore);
    }

    private long roundTimeoutMs() {
        long doubled = state.settings().retryMs() << Math.min(failedRounds, MAX_TIMEOUT_DOUBLINGS);
        return Math.min(state.settings().maxRetryMs(), doubled);
    }

    // ------------------------------------------------------------ rounds

    /**
     * Begins a round for the oldest pending change.
     *
     * @param newEpoch whether the round begins a new epoch because no elector has reported a state
     */
    private void begin(long now, boolean newEpoch) {
        PendingChange change = pending.peek();
        Ballot ballot = nextBallot(change, newEpoch);
        state.observe(ballot);
        long timeoutMs = change.isBootstrap()
                ? BOOTSTRAP_ROUND_INTERVALS * state.settings().maxRetryMs()
                : roundTimeoutMs();
        state.setOpenRound(new Round(ballot, newEpoch, now, now + timeoutMs));
        Set<String> receivers = ElectorLists.names(state.electorLists());
        if (change.isBootstrap()) {
            receivers.addAll(change.targetElectors().orElseThrow());
            receivers.addAll(state.otherMembers());
            receivers.add(state.self()); // may hold the only copy of the value without being an elector
        }
        prepare(receivers);
    }

    private Ballot nextBallot(PendingChange change, boolean newEpoch) {
        Ballot highest = Ballot.max(state.highestBallot(), state.promised());
        long epoch = highest.epoch();
        if (change.isBootstrap()) {
            epoch = Math.max(change.bootstrapEpoch(), epoch + 1);
        } else if (newEpoch) {
            epoch = Math.max(newestElectorIncarnation(), epoch + 1);
        }
        long number = epoch > highest.epoch() ? 1 : highest.round() + 1;
        return new Ballot(epoch, number, state.self(), state.incarnation());
    }

    private long newestElectorIncarnation() {
        return state.settings().electors().stream()
                .mapToLong(name -> state.newestIncarnation(name, 0))
                .max()
                .orElse(0);
    }

    /** Sends a PREPARE to each receiver that has not been sent one in this round. */
    private void prepare(Set<String> receivers) {
        Round round = state.openRound();
        boolean bootstrap = pending.peek().isBootstrap();
        for (String receiver : receivers) {
            if (round.contacted().add(receiver)) {
                outbox.send(receiver, outbox.message(Kind.PREPARE, round.ballot(), bootstrap, 0, Map.of(), null));
            }
        }
    }

    private void fail(long now) {
        state.setOpenRound(null);
        retryNotBefore = now + 1 + random.nextLong(roundTimeoutMs());
        failedRounds++;
    }

    private void closeRound() {
        state.setOpenRound(null);
        failedRounds = 0;
    }

    // ------------------------------------------------------------ answers

    /** Handles a promise of the round's ballot by an elector. */
    void promised(long now, ConsensusMessage promise) {
        Round round = state.openRound();
        if (round != null && round.isPreparing() && round.isAnsweredBy(promise)) {
            round.promises().put(promise.sender(), promise);
            tryPropose(now);
        }
    }

    /** Handles the acceptance of the round's proposal by an elector. */
    void accepted(long now, ConsensusMessage acceptance) {
        Round round = state.openRound();
        if (round != null && !round.isPreparing() && round.isAnsweredBy(acceptance)) {
            round.acceptances().put(acceptance.sender(), acceptance.incarnation());
            tryDecide(now);
        }
    }

    /** Handles a rejection by an elector. The round fails at once if the remaining electors form no majority. */
    void rejected(long now, ConsensusMessage rejection) {
        Round round = state.openRound();
        if (round == null || !round.isAnsweredBy(rejection)) {
            return;
        }
        round.rejections().add(rejection.sender());
        List<List<String>> lists = requiredLists(round);
        Set<String> remaining = new HashSet<>(round.contacted());
        remaining.addAll(ElectorLists.names(lists));
        remaining.removeAll(round.rejections());
        if (!ElectorLists.haveMajorities(lists, remaining)) {
            fail(now);
        }
    }

    /** The elector lists of which the round needs a majority each in order to proceed. */
    private List<List<String>> requiredLists(Round round) {
        if (!round.isPreparing()) {
            return round.proposed().electorLists();
        }
        return listsToPrepare(pending.peek(), round.newestReported());
    }

    private List<List<String>> listsToPrepare(PendingChange change, AcceptedState newest) {
        return change.isBootstrap() ? List.of(change.targetElectors().orElseThrow()) : state.electorLists(newest);
    }

    // ------------------------------------------------------------ proposing and deciding

    private void tryPropose(long now) {
        PendingChange change = pending.peek();
        Round round = state.openRound();
        round.dropEndedPromises(state);
        AcceptedState newest = round.newestReported();
        List<List<String>> lists = listsToPrepare(change, newest);
        prepare(ElectorLists.names(lists));
        boolean waitsForSlowMembers = change.isBootstrap()
                && now - round.startedAt() < state.settings().maxRetryMs();
        if (!ElectorLists.haveMajorities(lists, round.promises().keySet()) || waitsForSlowMembers) {
            return;
        }
        if (newest == null && !change.isBootstrap() && !round.newEpoch()) {
            begin(now, true);
            return;
        }
        RegisterState base = newest != null ? newest.state() : firstState(round);
        StateTransition transition = change.isBootstrap()
                ? StateTransition.bootstrap(change, newest, base, round, state)
                : StateTransition.apply(change, base, state);
        if (transition instanceof StateTransition.Ended ended) {
            finish(ended.result());
        } else if (transition instanceof StateTransition.Proposal proposal) {
            propose(change, base, proposal.next());
        }
    }

    private RegisterState firstState(Round round) {
        VersionedValue empty = new VersionedValue(
                round.ballot().epoch(), 0, "", 0, state.settings().electors());
        return new RegisterState(empty, List.of(), List.of());
    }

    private void propose(PendingChange change, RegisterState base, RegisterState next) {
        Round round = state.openRound();
        Set<String> voters = round.promises().keySet();
        Set<String> receivers = ElectorLists.names(next.electorLists());
        Set<String> added = ElectorLists.names(next.electorLists());
        base.electorLists().forEach(added::removeAll);
        boolean addedAnswer = change.isBootstrap() || voters.containsAll(added);
        if (!ElectorLists.haveMajorities(next.electorLists(), voters) || !addedAnswer) {
            prepare(receivers); // an elector must have answered before it is added
            return;
        }
        round.propose(next);
        ConsensusMessage request = outbox.message(
                Kind.ACCEPT,
                round.ballot(),
                change.isBootstrap(),
                0,
                round.promiseQuorum(),
                new AcceptedState(round.ballot(), next));
        receivers.forEach(receiver -> outbox.send(receiver, request));
    }

    private void tryDecide(long now) {
        Round round = state.openRound();
        round.dropEndedAcceptances(state);
        RegisterState next = round.proposed();
        if (!ElectorLists.haveMajorities(
                next.electorLists(), round.acceptances().keySet())) {
            return;
        }
        PendingChange change = pending.peek();
        closeRound();
        retryNotBefore = now;
        announce(new AcceptedState(round.ballot(), next));
        if (change.isCompleteIn(next)) {
            finish(change.resultIn(next.value()));
        }
    }

    /** Sends the decision to the electors, and to all other members unless it is already known, as after a read. */
    private void announce(AcceptedState decision) {
        boolean known = state.decided() != null && state.decided().state().equals(decision.state());
        learner.decided(decision);
        Set<String> receivers = ElectorLists.names(decision.state().electorLists());
        receivers.remove(state.self());
        if (!known) {
            receivers.addAll(state.otherMembers());
        }
        receivers.forEach(receiver -> outbox.send(receiver, Kind.DECIDED, decision.ballot(), decision));
    }

    private void finish(ChangeResult result) {
        closeRound();
        pending.remove().complete(result);
    }
}
