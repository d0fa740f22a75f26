package maplespread.consensus;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One member of the group that decides the replicated value; it acts as elector, proposer and learner. Dispatches
 * messages to its parts and runs them in a fixed order on each tick. The owner supplies the time, in milliseconds of a
 * monotonic clock, and must not call it from several threads at once.
 */
public final class ConsensusNode {
    /** Maximum size of a value's text in UTF-8, in bytes. */
    public static final int MAX_TEXT_BYTES = 48 * 1024;

    private final NodeState state;
    private final Outbox outbox;
    private final Recovery recovery;
    private final Acceptor acceptor;
    private final Learner learner;
    private final Proposer proposer;
    private final OrphanedChangeFinisher orphanedChanges;

    /**
     * Creates a node without any state; it starts in recovery.
     *
     * @param incarnation start time of this process in Unix milliseconds; must exceed that of every earlier process
     *     with the same name
     * @param seed seed of the random source for backoff times and the choice of receivers
     * @param now current time, in milliseconds of the node's clock
     * @param transport receives the messages, values and events of the node, during calls of the node
     */
    public ConsensusNode(
            ConsensusSettings settings, long incarnation, long seed, long now, ConsensusTransport transport) {
        SplittableRandom random = new SplittableRandom(seed);
        state = new NodeState(settings, incarnation);
        outbox = new Outbox(state, transport);
        recovery = new Recovery(state, outbox, now);
        acceptor = new Acceptor(state, outbox, recovery);
        learner = new Learner(state, outbox, random, now);
        proposer = new Proposer(state, outbox, learner, random);
        orphanedChanges = new OrphanedChangeFinisher(state, proposer, random);
    }

    /** The latest value known to be decided; null if there is none. */
    public VersionedValue decidedValue() {
        return state.decidedValue();
    }

    /** Whether this incarnation has not yet read the state of a majority and therefore does not vote. */
    public boolean recovering() {
        return state.recovering();
    }

    /**
     * The value that this elector accepted last, decided or not; null during recovery or if it has accepted none. Once
     * a value is decided, a majority of the electors has accepted it or a later one.
     */
    public VersionedValue acceptedValue() {
        return state.recovering() || state.accepted() == null
                ? null
                : state.accepted().state().value();
    }

    /** The electors known to this member: one list, or two during a change, each of which then needs a majority. */
    public List<List<String>> electors() {
        return state.electorLists();
    }

    /** Sets the members of the fleet, electors or not. Recovery queries them, and decisions are sent to them. */
    public void members(Collection<String> names) {
        state.setMembers(names);
    }

    // ------------------------------------------------------------ calls

    /**
     * Submits a change of the value.
     *
     * @param giveUpAt time at which an undecided change ends with {@link ChangeResult.Outcome#NO_MAJORITY}, in
     *     milliseconds of the node's clock
     * @param callback called once with the result, during a call of this node
     */
    public void change(long now, Mutation mutation, long giveUpAt, Consumer<ChangeResult> callback) {
        submit(now, PendingChange.ofValue(mutation, proposer.nextNumber(), giveUpAt, callback));
    }

    /**
     * Replaces the electors, one at a time; new ones are added before old ones are removed.
     *
     * @param next the future electors, each named once
     * @throws IllegalArgumentException if the list is empty or names an elector twice
     */
    public void electors(long now, List<String> next, long giveUpAt, Consumer<ChangeResult> callback) {
        List<String> target = requireDistinctElectors(next);
        submit(now, PendingChange.ofElectors(target, proposer.nextNumber(), giveUpAt, callback));
    }

    /**
     * Begins a new epoch with the newest value that any responding member holds. A majority of the given electors must
     * vote for it, which includes electors in recovery. Intended only for the case that the state of a majority of the
     * current electors can no longer be read: a value that no responding member holds is lost.
     *
     * @param wallMs current time in Unix milliseconds; the minimum of the new epoch
     * @param electors the electors of the new epoch, each named once
     * @throws IllegalArgumentException if the list is empty or names an elector twice
     */
    public void bootstrap(
            long now, long wallMs, List<String> electors, long giveUpAt, Consumer<ChangeResult> callback) {
        List<String> target = requireDistinctElectors(electors);
        submit(now, PendingChange.ofBootstrap(target, wallMs, proposer.nextNumber(), giveUpAt, callback));
    }

    private static List<String> requireDistinctElectors(List<String> electors) {
        if (electors.isEmpty() || Set.copyOf(electors).size() < electors.size()) {
            throw new IllegalArgumentException("electors must be named, each once: " + electors);
        }
        return List.copyOf(electors);
    }

    private void submit(long now, PendingChange change) {
        proposer.submit(change);
        tick(now);
    }

    // ------------------------------------------------------------ time

    /**
     * Performs the work that is due.
     *
     * @return the time by which to call this method again, in milliseconds of the node's clock
     */
    public long tick(long now) {
        recovery.tick(now);
        proposer.expire(now);
        proposer.checkRound(now);
        orphanedChanges.tick(now);
        proposer.startIfDue(now);
        learner.tick(now);
        handleLoopback(now);
        return nextTickAt(now);
    }

    private long nextTickAt(long now) {
        long next = Math.min(learner.nextTickAt(), recovery.nextTickAt());
        next = Math.min(next, proposer.nextTickAt(now));
        return Math.max(next, now + 1);
    }

    // ------------------------------------------------------------ messages

    /** Handles a message of another member. The sender named in it must have been verified. */
    public void receive(long now, ConsensusMessage message) {
        if (message.sender().equals(state.self())) {
            warnNameTakenTwice(message.incarnation());
            return;
        }
        handle(now, message);
        tick(now);
    }

    private void handleLoopback(long now) {
        ConsensusMessage message = outbox.pollLoopback();
        while (message != null) {
            handle(now, message);
            message = outbox.pollLoopback();
        }
    }

    private void handle(long now, ConsensusMessage message) {
        learnIncarnation(message.sender(), message.incarnation());
        learnIncarnations(message.crashVector());
        learnIncarnations(message.promiseQuorum());
        if (message.incarnation() < state.newestIncarnation(message.sender(), Long.MAX_VALUE)) {
            return; // sent by an earlier incarnation, which has ended
        }
        state.observe(message.promisedBallot());
        switch (message.kind()) {
            case RECOVERY_REQUEST -> recovery.answer(message);
            case RECOVERY_RESPONSE -> recovery.responded(message);
            case PREPARE -> acceptor.prepare(message);
            case PROMISE -> proposer.promised(now, message);
            case ACCEPT -> acceptor.accept(message);
            case ACCEPTED -> proposer.accepted(now, message);
            case REFUSE -> proposer.rejected(now, message);
            case DECIDED -> learner.decided(message.accepted());
            case DECIDED_BALLOT -> learner.compare(message);
        }
    }

    private void learnIncarnations(Map<String, Long> incarnations) {
        incarnations.forEach(this::learnIncarnation);
    }

    private void learnIncarnation(String name, long incarnation) {
        if (state.learnIncarnation(name, incarnation) && name.equals(state.self())) {
            warnNameTakenTwice(incarnation); // votes of this incarnation no longer count
        }
    }

    private void warnNameTakenTwice(long incarnation) {
        outbox.warnOnce("consensus.name_taken_twice", "boot", incarnation);
    }

    /** The state, the open round and the recovery, for logs. */
    @Override
    public String toString() {
        return state + " pending " + proposer.pendingCount() + " recovery " + recovery;
    }
}
