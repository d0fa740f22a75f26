package maplespread.consensus;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One member of the group that decides the register's value: elector, proposer and learner at once. Ties the parts
 * together, hands them the messages, and calls them in a fixed order as time passes. Its owner passes the time in, in
 * milliseconds of a clock that never goes back, and calls it from one thread at a time.
 */
public final class ConsensusNode {
    /** Most bytes of a value's text, as UTF-8. */
    public static final int MAX_TEXT_BYTES = 48 * 1024;

    private final NodeState state;
    private final Outbox outbox;
    private final Recovery recovery;
    private final Acceptor acceptor;
    private final Learner learner;
    private final Proposer proposer;
    private final OrphanedChangeFinisher orphanedChanges;

    /**
     * A node that knows nothing yet.
     *
     * @param incarnation Unix milliseconds of this process' start, above that of every earlier one under this name
     * @param seed of the random source that spreads retries and picks receivers
     * @param now the time in milliseconds of the node's clock
     * @param transport takes what the node sends and reports, during calls of it
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

    /** The last value known to be decided; null: none. */
    public VersionedValue decidedValue() {
        return state.decidedValue();
    }

    /** Whether this incarnation has not yet read what a majority knows, and does not vote. */
    public boolean recovering() {
        return state.recovering();
    }

    /**
     * What this elector has accepted last, decided or not; null while it recovers or knows of nothing. Once a value is
     * decided, most electors have accepted it or a later one.
     */
    public VersionedValue acceptedValue() {
        return state.recovering() || state.accepted() == null
                ? null
                : state.accepted().state().value();
    }

    /** The electors as this member knows them; two lists while they change: each must have a majority. */
    public List<List<String>> electors() {
        return state.electorLists();
    }

    /** Names the members of the fleet, electors or not: they are asked during recovery, and sent what is decided. */
    public void members(Collection<String> names) {
        state.setMembers(names);
    }

    // ------------------------------------------------------------ calls

    /**
     * Has a change of the value decided.
     *
     * @param giveUpAt when it ends with {@link ChangeResult.Outcome#NO_MAJORITY}, in milliseconds of the node's clock
     * @param callback called once with the result, during a call of this node
     */
    public void change(long now, Mutation mutation, long giveUpAt, Consumer<ChangeResult> callback) {
        submit(now, PendingChange.ofValue(mutation, proposer.nextNumber(), giveUpAt, callback));
    }

    /**
     * Moves to other electors, one at a time, new ones first.
     *
     * @param next the electors to be, each named once
     * @throws IllegalArgumentException if there are none, or one is named twice
     */
    public void electors(long now, List<String> next, long giveUpAt, Consumer<ChangeResult> callback) {
        List<String> target = requireDistinct(next);
        submit(now, PendingChange.ofElectors(target, proposer.nextNumber(), giveUpAt, callback));
    }

    /**
     * Begins a new epoch over the newest value that anybody who answers has, with a majority of the named electors,
     * those that recover included. Only for when no majority of the electors in force can be read any more: what nobody
     * who answers knows is lost.
     *
     * @param wallMs Unix milliseconds, the least epoch
     * @param electors of the new epoch, each named once
     * @throws IllegalArgumentException if there are none, or one is named twice
     */
    public void bootstrap(
            long now, long wallMs, List<String> electors, long giveUpAt, Consumer<ChangeResult> callback) {
        List<String> target = requireDistinct(electors);
        submit(now, PendingChange.ofBootstrap(target, wallMs, proposer.nextNumber(), giveUpAt, callback));
    }

    private static List<String> requireDistinct(List<String> electors) {
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

    /** Does what is due; returns when to be called again at the latest, in milliseconds of the node's clock. */
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

    /** Takes a message of another member, which is known to have sent it. */
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
            return; // that incarnation has ended
        }
        state.observe(message.promisedBallot());
        switch (message.kind()) {
            case RECOVERY_REQUEST -> recovery.answer(message);
            case RECOVERY_RESPONSE -> recovery.responded(message);
            case PREPARE -> acceptor.prepare(message);
            case PROMISE -> proposer.promised(now, message);
            case ACCEPT -> acceptor.accept(message);
            case ACCEPTED -> proposer.accepted(now, message);
            case REFUSE -> proposer.refused(now, message);
            case DECIDED -> learner.decided(message.accepted());
            case DECIDED_BALLOT -> learner.compare(message);
        }
    }

    private void learnIncarnations(Map<String, Long> incarnations) {
        incarnations.forEach(this::learnIncarnation);
    }

    private void learnIncarnation(String name, long incarnation) {
        if (state.learnIncarnation(name, incarnation) && name.equals(state.self())) {
            warnNameTakenTwice(incarnation); // no vote of this incarnation counts any more
        }
    }

    private void warnNameTakenTwice(long incarnation) {
        outbox.warnOnce("consensus.name_taken_twice", "boot", incarnation);
    }

    /** The state, the round that is open and the recovery, for logs. */
    @Override
    public String toString() {
        return state + " pending " + proposer.pendingCount() + " recovery " + recovery;
    }
}
