package maplespread.partition;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import java.util.function.Predicate;

/**
 * Decides whether this member may send requests for a slot at a given time. It may while it holds a lease: in a renewal
 * round that started less than a lease duration ago, a majority of electors has confirmed that they know of no later
 * epoch. So once an epoch is agreed on, a member that has not learned of it stops sending within one lease duration. A
 * slot that moved to this member opens when its previous owners have confirmed that nothing is in flight, or when their
 * leases and requests must be over.
 *
 * <p>A dispatcher calls this check with its current clock before each send, also after a process pause or a network
 * partition. Electors store only the replicated value and use no clock; message delays are not bounded. Not
 * thread-safe: the caller holds one lock around all calls. Times are milliseconds of one clock, which is passed in.
 */
public final class FencingCheck {
    /** Time value of an event that never happens. */
    public static final long NEVER = Long.MAX_VALUE;

    private final LeaseSettings settings;
    private final String self;
    /** By the epoch at which a silence began: the time in milliseconds when this member learned of that silence. */
    private final Map<Long, Long> silenceLearnedAtMs = new HashMap<>();
    /** The electors that have granted the lease in the current renewal round. */
    private final Set<String> grantedBy = new HashSet<>();

    private SlotAssignment assignment;
    /**
     * By slot: the time in milliseconds from which this member may send for it, provided that it holds a lease then;
     * {@link #NEVER}: another member owns it.
     */
    private final long[] opensAtMs;

    private long currentRound;
    private long roundStartedAtMs;
    private long roundEpoch;
    private long leaseUntilMs = Long.MIN_VALUE;

    /**
     * A check that holds no lease yet.
     *
     * @param self this member
     * @param initial an assignment in which this member owns nothing
     */
    public FencingCheck(LeaseSettings settings, String self, SlotAssignment initial) {
        this.settings = settings;
        this.self = self;
        assignment = initial;
        opensAtMs = new long[initial.slots().size()];
        Arrays.fill(opensAtMs, NEVER);
    }

    /** The latest assignment that is known to be agreed on. */
    public SlotAssignment assignment() {
        return assignment;
    }

    /**
     * Adopts an assignment that was agreed on.
     *
     * @param maxRunMs the longest time in milliseconds that a request under its routing table or the previous one can
     *     run
     * @return false if the assignment is not later than the known one
     */
    public boolean learn(long nowMs, SlotAssignment next, long maxRunMs) {
        if (next.version() <= assignment.version()) {
            return false;
        }
        next.silent().values().forEach(epoch -> silenceLearnedAtMs.putIfAbsent(epoch, nowMs));
        for (int i = 0; i < opensAtMs.length; i++) {
            opensAtMs[i] = opensAt(nowMs, i, next.slots().get(i), maxRunMs);
        }
        Set<Long> neededEpochs = new HashSet<>(next.silent().values());
        next.slots().forEach(slot -> neededEpochs.addAll(slot.previousOwners().values()));
        silenceLearnedAtMs.keySet().retainAll(neededEpochs);
        assignment = next;
        return true;
    }

    private long opensAt(long nowMs, int number, SlotAssignment.Slot next, long maxRunMs) {
        if (!next.owner().equals(self)) {
            return NEVER;
        }
        if (next.previousOwners().isEmpty()) {
            return Math.min(opensAtMs[number], nowMs);
        }
        boolean sameOwnership = assignment.slots().get(number).ownedSinceEpoch() == next.ownedSinceEpoch();
        if (opensAtMs[number] != NEVER && sameOwnership) {
            return opensAtMs[number];
        }
        long holdFromMs = Long.MIN_VALUE;
        for (long silentSinceEpoch : next.previousOwners().values()) {
            long learnedAtMs = silentSinceEpoch == 0 ? nowMs : silenceLearnedAtMs.getOrDefault(silentSinceEpoch, nowMs);
            holdFromMs = Math.max(holdFromMs, learnedAtMs);
        }
        return holdFromMs + settings.holdMs(maxRunMs);
    }

    // ------------------------------------------------------------ the lease

    /**
     * Starts a renewal round, in which all electors are asked to grant a lease.
     *
     * @return the number of the round, which its requests and responses carry
     */
    public long startRenewal(long nowMs) {
        roundStartedAtMs = nowMs;
        roundEpoch = assignment.epoch();
        grantedBy.clear();
        return ++currentRound;
    }

    /**
     * Records a grant by an elector, which follows {@link SlotAssignment#grantsLease}. A grant for an earlier round is
     * ignored.
     */
    public void recordGrant(long nowMs, String elector, long round) {
        recordGrant(elector, round, electors -> electors.size() > settings.electors() / 2);
    }

    /**
     * Records a grant in a cluster whose electors change.
     *
     * @param isMajority whether a set of electors is a majority of those asked
     */
    public void recordGrant(String elector, long round, Predicate<Set<String>> isMajority) {
        if (round == currentRound && grantedBy.add(elector) && isMajority.test(grantedBy)) {
            leaseUntilMs = Math.max(leaseUntilMs, roundStartedAtMs + settings.leaseMs());
        }
    }

    /** The epoch that the current renewal round asks the electors to confirm. */
    public long renewalEpoch() {
        return roundEpoch;
    }

    /** Whether this member holds a lease, granted by a majority, at the given time. */
    public boolean holdsLease(long nowMs) {
        return nowMs < leaseUntilMs;
    }

    // ------------------------------------------------------------ slots

    /**
     * The time from which this member may send for the slot, as far as is known; {@link #NEVER}: it may not send.
     *
     * @param ownedSinceEpoch that of the slot when the request was accepted; once the slot was lost and regained,
     *     requests that were accepted before are not sent
     */
    public long sendAllowedFrom(long nowMs, int slotNumber, long ownedSinceEpoch) {
        SlotAssignment.Slot slot = assignment.slots().get(slotNumber);
        return holdsLease(nowMs) && slot.owner().equals(self) && slot.ownedSinceEpoch() == ownedSinceEpoch
                ? opensAtMs[slotNumber]
                : NEVER;
    }

    /**
     * The slots for which this member has waited out the hold time, each with the epoch since which it owns the slot:
     * the argument of {@link SlotAssignment#forgetPreviousOwners}.
     */
    public Map<Integer, Long> openedSlots(long nowMs) {
        Map<Integer, Long> opened = new TreeMap<>();
        for (int i = 0; i < opensAtMs.length; i++) {
            SlotAssignment.Slot slot = assignment.slots().get(i);
            if (slot.owner().equals(self) && !slot.previousOwners().isEmpty() && opensAtMs[i] <= nowMs) {
                opened.put(i, slot.ownedSinceEpoch());
            }
        }
        return opened;
    }

    /**
     * The slots that this member has lost and for which it may now confirm that nothing is in flight.
     *
     * @param isIdle whether this member has nothing in flight for the slot of that number
     */
    public Set<Integer> drainedSlots(IntPredicate isIdle) {
        Set<Integer> drained = new TreeSet<>();
        for (int i = 0; i < opensAtMs.length; i++) {
            if (assignment.slots().get(i).previousOwners().containsKey(self) && isIdle.test(i)) {
                drained.add(i);
            }
        }
        return drained;
    }
}
