package maplespread.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * What this incarnation of a member has promised, accepted and learned, shared by the parts of its node. Nothing of it
 * outlives the process: {@link Recovery} reads it back from the other electors.
 */
final class NodeState {
    /** Above this number, incarnations of names that are no longer in use are forgotten. */
    private static final int MAX_INCARNATIONS = 512;

    private final ConsensusSettings settings;
    private final long incarnation;
    private final Map<String, Long> newestIncarnations = new TreeMap<>();
    private final Set<String> otherMembers = new TreeSet<>();
    private boolean recovering = true;
    private Ballot promised = Ballot.NONE;
    private AcceptedState accepted;
    private AcceptedState decided;
    private Ballot highestBallot = Ballot.NONE;
    private Round openRound;

    NodeState(ConsensusSettings settings, long incarnation) {
        this.settings = settings;
        this.incarnation = incarnation;
        newestIncarnations.put(settings.name(), incarnation);
    }

    ConsensusSettings settings() {
        return settings;
    }

    /** This member's name. */
    String self() {
        return settings.name();
    }

    /** Unix milliseconds at which this process began; tells it apart from earlier ones of the same name. */
    long incarnation() {
        return incarnation;
    }

    /** Members of the fleet other than this one, electors or not. */
    Set<String> otherMembers() {
        return otherMembers;
    }

    void setMembers(Collection<String> names) {
        otherMembers.clear();
        otherMembers.addAll(names);
        otherMembers.remove(self());
    }

    // ------------------------------------------------------------ votes and decisions

    /** Whether the votes of earlier incarnations have not been read back yet: until then this one does not vote. */
    boolean recovering() {
        return recovering;
    }

    /** The highest ballot that this elector has promised: it refuses every lower one. */
    Ballot promised() {
        return promised;
    }

    void promise(Ballot ballot) {
        promised = ballot;
    }

    /** What this elector has voted for last, decided or not; null: nothing. */
    AcceptedState accepted() {
        return accepted;
    }

    /** Accepts under a ballot, which promises that ballot as well. */
    void accept(AcceptedState next) {
        promised = next.ballot();
        accepted = next;
    }

    /** The latest state known to be decided; null: none. */
    AcceptedState decided() {
        return decided;
    }

    /** The value of the latest decided state; null: none is known. */
    VersionedValue decidedValue() {
        return decided == null ? null : decided.state().value();
    }

    /** The ballot of the latest decided state. */
    Ballot decidedBallot() {
        return decided == null ? Ballot.NONE : decided.ballot();
    }

    void setDecided(AcceptedState next) {
        decided = next;
    }

    /** Takes a decided state as if it had been accepted here, and promises no earlier ballot after it. */
    void acceptDecided(AcceptedState next) {
        if (AcceptedState.isLater(next, accepted)) {
            accepted = next;
            promised = Ballot.max(promised, next.ballot());
        }
    }

    /** Ends the recovery with what the electors have reported. */
    void recover(AcceptedState reported, Ballot highestPromise) {
        accepted = reported;
        promised = highestPromise;
        recovering = false;
    }

    /** The highest ballot seen in any message. */
    Ballot highestBallot() {
        return highestBallot;
    }

    void observe(Ballot ballot) {
        highestBallot = Ballot.max(highestBallot, ballot);
    }

    /** The round that this member has open as a proposer; null: none. */
    Round openRound() {
        return openRound;
    }

    void setOpenRound(Round round) {
        openRound = round;
    }

    // ------------------------------------------------------------ electors

    /** The lists that must each have a majority for what is read from, or written over, a state; null: no state. */
    List<List<String>> electorLists(AcceptedState basis) {
        return basis == null ? List.of(settings.electors()) : basis.state().electorLists();
    }

    /** The lists in force as far as this member knows. */
    List<List<String>> electorLists() {
        return electorLists(AcceptedState.isLater(accepted, decided) ? accepted : decided);
    }

    /** The electors of the latest decided state, or of the settings while none is known. */
    Set<String> decidedElectors() {
        return ElectorLists.names(electorLists(decided));
    }

    // ------------------------------------------------------------ incarnations

    /** Whether this is later than every incarnation of that name known so far; if so, remembers it. */
    boolean learnIncarnation(String name, long seen) {
        if (seen <= newestIncarnation(name, 0)) {
            return false;
        }
        newestIncarnations.put(name, seen);
        if (newestIncarnations.size() > MAX_INCARNATIONS) {
            forgetUnusedNames(name);
        }
        return true;
    }

    private void forgetUnusedNames(String justSeen) {
        Set<String> used = ElectorLists.names(electorLists(accepted));
        used.addAll(otherMembers);
        used.addAll(settings.electors());
        used.add(self());
        used.add(justSeen);
        newestIncarnations.keySet().retainAll(used);
    }

    /** Whether this is the newest known incarnation of that name: votes of earlier ones count for nothing. */
    boolean isCurrent(String name, long seen) {
        return newestIncarnation(name, 0) == seen;
    }

    /** The newest incarnation known of that name, or the given number where none is known. */
    long newestIncarnation(String name, long otherwise) {
        return newestIncarnations.getOrDefault(name, otherwise);
    }

    /**
     * The crash vector: the newest known incarnations of all whose votes may count. Other members are left out, so that
     * the size of a message does not grow with the fleet.
     */
    Map<String, Long> crashVector() {
        Set<String> names = ElectorLists.names(electorLists(accepted));
        names.addAll(decidedElectors());
        names.addAll(settings.electors());
        names.add(self());
        if (openRound != null) {
            names.addAll(openRound.contacted());
        }
        Map<String, Long> vector = new TreeMap<>(newestIncarnations);
        vector.keySet().retainAll(names);
        return vector;
    }

    /** For logs, and to tell two states apart in tests. */
    @Override
    public String toString() {
        List<Object> parts = new ArrayList<>();
        parts.add(self() + ' ' + incarnation + (recovering ? " recovering" : ""));
        parts.add("promised " + promised);
        parts.add("accepted " + accepted);
        parts.add("decided " + decided);
        parts.add("incarnations " + newestIncarnations);
        parts.add("highest " + highestBallot);
        parts.add("round " + openRound);
        return parts.toString();
    }
}
