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
 * Whether this member may send for a slot at this very moment. It may while a majority of electors has granted, since
 * a moment less than a lease ago, that they know of no later epoch; so once an epoch is agreed on, whoever has not
 * heard of it stops sending within a lease. A slot that has come to this member is open when those who had it have
 * confirmed that nothing is in flight, or when their leases and requests are surely over.
 *
 * <p>A dispatcher whose process was paused, or that was cut off, asks here with its clock as it is then, before each
 * send. Electors keep nothing but the agreed value, and no clock; message delays are not bounded. Not thread-safe:
 * the caller holds one lock around all calls. Times are milliseconds of one clock, which is passed in.
 */
public final class FencingCheck {
    /** A time that never comes. */
    public static final long NEVER = Long.MAX_VALUE;

    private final LeaseSettings settings;
    private final String self;
    /** When each silence was learned of, by the epoch at which it began. */
    private final Map<Long, Long> silenceLearnedAtMs = new HashMap<>();
    /** The electors that have granted in the present round. */
    private final Set<String> grantedBy = new HashSet<>();

    private SlotAssignment assignment;
    /** By slot: from when on this member may send for it, provided that it holds a lease then. */
    private final long[] opensAtMs;

    private long round;
    private long roundStartedAtMs;
    private long roundEpoch;
    private long leaseUntilMs = Long.MIN_VALUE;

    /** {@code self}: this member; {@code initial}: an assignment in which it owns nothing. */
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
     * Takes up an assignment that was agreed on; false: it is no later than the known one.
     *
     * @param maxRunMs the longest that a request under its table or the one before can run
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

    /** Begins a round of questions to all electors; returns its number, which goes with questions and answers. */
    public long startRenewal(long nowMs) {
        roundStartedAtMs = nowMs;
        roundEpoch = assignment.epoch();
        grantedBy.clear();
        return ++round;
    }

    /** An elector grants, by {@link SlotAssignment#grantsLease}, what was asked in this round. */
    public void recordGrant(long nowMs, String elector, long askedRound) {
        recordGrant(elector, askedRound, electors -> electors.size() > settings.electors() / 2);
    }

    /** The same where electors change; {@code isMajority}: whether these are one of those asked. */
    public void recordGrant(String elector, long askedRound, Predicate<Set<String>> isMajority) {
        if (askedRound == round && grantedBy.add(elector) && isMajority.test(grantedBy)) {
            leaseUntilMs = Math.max(leaseUntilMs, roundStartedAtMs + settings.leaseMs());
        }
    }

    /** The epoch that the present round asks about. */
    public long renewalEpoch() {
        return roundEpoch;
    }

    /** Whether the lease that a majority has granted holds at this moment. */
    public boolean holdsLease(long nowMs) {
        return nowMs < leaseUntilMs;
    }

    // ------------------------------------------------------------ slots

    /**
     * From when on this member may send for the slot, as far as is known; {@link #NEVER}: it may not.
     *
     * @param ownedSinceEpoch of the slot when the request was accepted: a slot that went and came back does not open
     *     for what was accepted before
     */
    public long sendAllowedFrom(long nowMs, int slotNumber, long ownedSinceEpoch) {
        SlotAssignment.Slot slot = assignment.slots().get(slotNumber);
        return holdsLease(nowMs) && slot.owner().equals(self) && slot.ownedSinceEpoch() == ownedSinceEpoch
                ? opensAtMs[slotNumber]
                : NEVER;
    }

    /**
     * Slots for which this member has waited its time, and since which epoch it owns each, as {@link
     * SlotAssignment#forgetPreviousOwners} asks for them.
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

    /** Slots that were this member's, and of which it may now confirm that nothing is in flight. */
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
