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
 * Whether this member may send for a slot at this very moment. It may while a majority of electors has told
 * it, since a moment less than a lease ago, that they know no later epoch; so once an epoch is agreed on,
 * whoever has not heard of it falls silent within a lease. A slot that has come to this member is open when
 * those who had it have said that nothing is out, or when their leases and jobs are surely over.
 *
 * <p>Guards against a dispatcher that stood still, was cut off or thought dead and goes on sending: it asks
 * here with its clock as it is then, before each send. Electors keep nothing but the agreed value, and no
 * clock; message delays are not bounded.
 */
public final class FencingCheck {
    public static final long NEVER = Long.MAX_VALUE;

    private final LeaseSettings set;
    private final String self;
    private final Map<Long, Long> silenceHeardAt = new HashMap<>(); // by the epoch at which it began
    private final Set<String> recordGrant = new HashSet<>();
    private SlotAssignment assignment;
    private long[] openAt;
    private long seq, askedAt, renewalEpoch;
    private long leaseUntil = Long.MIN_VALUE;

    public FencingCheck(LeaseSettings set, String self, SlotAssignment first) {
        this.set = set;
        this.self = self;
        assignment = first;
        openAt = new long[first.slots().size()];
        Arrays.fill(openAt, NEVER);
    }

    /** The latest that is known to be agreed on. */
    public SlotAssignment assignment() {
        return assignment;
    }

    /**
     * A value that was agreed on; {@code runsMs}: the longest that a job under its table or the one before
     * can run. False: it is not news.
     */
    public boolean learn(long now, SlotAssignment next, long runsMs) {
        if (next.version() <= assignment.version()) {
            return false;
        }
        next.silent().values().forEach(e -> silenceHeardAt.putIfAbsent(e, now));
        for (int i = 0; i < openAt.length; i++) {
            SlotAssignment.Slot slot = next.slots().get(i);
            if (!slot.owner().equals(self)) {
                openAt[i] = NEVER;
            } else if (slot.previousOwners().isEmpty()) {
                openAt[i] = Math.min(openAt[i], now);
            } else if (openAt[i] == NEVER || assignment.slots().get(i).ownedSinceEpoch() != slot.ownedSinceEpoch()) {
                long from = Long.MIN_VALUE;
                for (long silence : slot.previousOwners().values()) {
                    from = Math.max(from, silence == 0 ? now : silenceHeardAt.getOrDefault(silence, now));
                }
                openAt[i] = from + set.holdMs(runsMs);
            }
        }
        Set<Long> needed = new HashSet<>(next.silent().values());
        next.slots().forEach(s -> needed.addAll(s.previousOwners().values()));
        silenceHeardAt.keySet().retainAll(needed);
        assignment = next;
        return true;
    }

    // ------------------------------------------------------------ the lease

    /** Begins to ask all electors; returns the number that goes with the question and its answers. */
    public long startRenewal(long now) {
        askedAt = now;
        renewalEpoch = assignment.epoch();
        recordGrant.clear();
        return ++seq;
    }

    /** An elector has answered that it grants, by {@link SlotAssignment#grantsLease}, what was asked with this number. */
    public void recordGrant(long now, String elector, long asked) {
        recordGrant(elector, asked, all -> all.size() > set.electors() / 2);
    }

    /** The same where electors change; {@code majority}: whether these are one of those asked. */
    public void recordGrant(String elector, long asked, Predicate<Set<String>> majority) {
        if (asked == seq && recordGrant.add(elector) && majority.test(recordGrant)) {
            leaseUntil = Math.max(leaseUntil, askedAt + set.leaseMs());
        }
    }

    /** The epoch under which the last question was asked. */
    public long renewalEpoch() {
        return renewalEpoch;
    }

    /** Whether a majority's word holds at this moment. */
    public boolean holdsLease(long now) {
        return now < leaseUntil;
    }

    // ------------------------------------------------------------ slots

    /**
     * From when on this member may send for the slot, as far as is known; {@link #NEVER}: it may not. {@code
     * since}: what {@link SlotAssignment.Slot#ownedSinceEpoch} was when the job was taken: a slot that went and came back does
     * not open for what was taken before.
     */
    public long sendAllowedFrom(long now, int slot, long since) {
        SlotAssignment.Slot s = assignment.slots().get(slot);
        return holdsLease(now) && s.owner().equals(self) && s.ownedSinceEpoch() == since ? openAt[slot] : NEVER;
    }

    /** Slots for which this member has waited its time, and since when it has each: {@link SlotAssignment#forgetPreviousOwners}. */
    public Map<Integer, Long> openedSlots(long now) {
        Map<Integer, Long> done = new TreeMap<>();
        for (int i = 0; i < openAt.length; i++) {
            SlotAssignment.Slot slot = assignment.slots().get(i);
            if (slot.owner().equals(self) && !slot.previousOwners().isEmpty() && openAt[i] <= now) {
                done.put(i, slot.ownedSinceEpoch());
            }
        }
        return done;
    }

    /** Slots that were this member's, and of which it may now say that nothing is out. */
    public Set<Integer> drainedSlots(IntPredicate idle) {
        Set<Integer> done = new TreeSet<>();
        for (int i = 0; i < openAt.length; i++) {
            if (assignment.slots().get(i).previousOwners().containsKey(self) && idle.test(i)) {
                done.add(i);
            }
        }
        return done;
    }
}
