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
 * The promises, accepted state and decided state of this incarnation of a member, shared by the parts of its node. Kept
 * in memory only: after a restart, {@link Recovery} restores it from the other electors.
 */
final class NodeState {
    /** Maximum number of recorded incarnations; above it, those of names no longer in use are removed. */
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

    /** Start time of this process in Unix milliseconds; distinguishes it from earlier processes of the same name. */
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

    /** Whether the votes of earlier incarnations are not yet restored; until then this one does not vote. */
    boolean recovering() {
        return recovering;
    }

    /** The highest ballot that this elector has promised; it rejects lower ones. */
    Ballot promised() {
        return promised;
    }

    void promise(Ballot ballot) {
        promised = ballot;
    }

    /** The state that this elector accepted last, decided or not; null if none. */
    AcceptedState accepted() {
        return accepted;
    }

    /** Accepts a state under its ballot, which implies a promise of that ballot. */
    void accept(AcceptedState next) {
        promised = next.ballot();
        accepted = next;
    }

    /** The latest state known to be decided; null if none. */
    AcceptedState decided() {
        return decided;
    }

    /** The value of the latest state known to be decided; null if none. */
    VersionedValue decidedValue() {
        return decided == null ? null : decided.state().value();
    }

    /** The ballot of the latest state known to be decided, or {@link Ballot#NONE}. */
    Ballot decidedBallot() {
        return decided == null ? Ballot.NONE : decided.ballot();
    }

    void setDecided(AcceptedState next) {
        decided = next;
    }

    /** Adopts a decided state as accepted by this elector, and raises the promise to its ballot. */
    void acceptDecided(AcceptedState next) {
        if (AcceptedState.isLater(next, accepted)) {
            accepted = next;
            promised = Ballot.max(promised, next.ballot());
        }
    }

    /** Ends the recovery with the state and the promise that the electors reported. */
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

    /** The current round of this member as a proposer; null if none. */
    Round openRound() {
        return openRound;
    }

    void setOpenRound(Round round) {
        openRound = round;
    }

    // ------------------------------------------------------------ electors

    /**
     * The elector lists of which a read or a replacement of a state needs a majority each.
     *
     * @param basis the state; null stands for the electors of the settings
     */
    List<List<String>> electorLists(AcceptedState basis) {
        return basis == null ? List.of(settings.electors()) : basis.state().electorLists();
    }

    /** The elector lists of the latest state known to this member. */
    List<List<String>> electorLists() {
        return electorLists(AcceptedState.isLater(accepted, decided) ? accepted : decided);
    }

    /** The electors of the latest decided state, or of the settings if none is known. */
    Set<String> decidedElectors() {
        return ElectorLists.names(electorLists(decided));
    }

    // ------------------------------------------------------------ incarnations

    /** Records an incarnation; returns whether it is later than every one known for that name. */
    boolean learnIncarnation(String name, long reportedIncarnation) {
        if (reportedIncarnation <= newestIncarnation(name, 0)) {
            return false;
        }
        newestIncarnations.put(name, reportedIncarnation);
        if (newestIncarnations.size() > MAX_INCARNATIONS) {
            forgetUnusedNames(name);
        }
        return true;
    }

    private void forgetUnusedNames(String justLearned) {
        Set<String> used = ElectorLists.names(electorLists(accepted));
        used.addAll(otherMembers);
        used.addAll(settings.electors());
        used.add(self());
        used.add(justLearned);
        newestIncarnations.keySet().retainAll(used);
    }

    /** Whether this is the newest known incarnation of that name; votes of earlier ones are not counted. */
    boolean isCurrent(String name, long reportedIncarnation) {
        return newestIncarnation(name, 0) == reportedIncarnation;
    }

    /** The newest known incarnation of that name, or the given default if none is known. */
    long newestIncarnation(String name, long defaultIncarnation) {
        return newestIncarnations.getOrDefault(name, defaultIncarnation);
    }

    /**
     * The crash vector: the newest known incarnation of each member whose vote may count. Other members are omitted so
     * that the message size does not grow with the fleet.
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

    /** For logs, and for the comparison of states in tests. */
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
