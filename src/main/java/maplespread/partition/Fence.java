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
public final class Fence {
    public static final long NEVER = Long.MAX_VALUE;

    private final FenceSettings set;
    private final String self;
    private final Map<Long, Long> silenceHeardAt = new HashMap<>(); // by the epoch at which it began
    private final Set<String> granted = new HashSet<>();
    private Owners owners;
    private long[] openAt;
    private long seq, askedAt, askedEpoch;
    private long leaseUntil = Long.MIN_VALUE;

    public Fence(FenceSettings set, String self, Owners first) {
        this.set = set;
        this.self = self;
        owners = first;
        openAt = new long[first.slots().size()];
        Arrays.fill(openAt, NEVER);
    }

    /** The latest that is known to be agreed on. */
    public Owners owners() {
        return owners;
    }

    /**
     * A value that was agreed on; {@code runsMs}: the longest that a job under its table or the one before
     * can run. False: it is not news.
     */
    public boolean learned(long now, Owners next, long runsMs) {
        if (next.version() <= owners.version()) {
            return false;
        }
        next.silent().values().forEach(e -> silenceHeardAt.putIfAbsent(e, now));
        for (int i = 0; i < openAt.length; i++) {
            Owners.Slot slot = next.slots().get(i);
            if (!slot.owner().equals(self)) {
                openAt[i] = NEVER;
            } else if (slot.leavers().isEmpty()) {
                openAt[i] = Math.min(openAt[i], now);
            } else if (openAt[i] == NEVER || owners.slots().get(i).since() != slot.since()) {
                long from = Long.MIN_VALUE;
                for (long silence : slot.leavers().values()) {
                    from = Math.max(from, silence == 0 ? now : silenceHeardAt.getOrDefault(silence, now));
                }
                openAt[i] = from + set.holdMs(runsMs);
            }
        }
        Set<Long> needed = new HashSet<>(next.silent().values());
        next.slots().forEach(s -> needed.addAll(s.leavers().values()));
        silenceHeardAt.keySet().retainAll(needed);
        owners = next;
        return true;
    }

    // ------------------------------------------------------------ the lease

    /** Begins to ask all electors; returns the number that goes with the question and its answers. */
    public long ask(long now) {
        askedAt = now;
        askedEpoch = owners.epoch();
        granted.clear();
        return ++seq;
    }

    /** An elector has answered that it grants, by {@link Owners#grants}, what was asked with this number. */
    public void granted(long now, String elector, long asked) {
        granted(elector, asked, all -> all.size() > set.electors() / 2);
    }

    /** The same where electors change; {@code majority}: whether these are one of those asked. */
    public void granted(String elector, long asked, Predicate<Set<String>> majority) {
        if (asked == seq && granted.add(elector) && majority.test(granted)) {
            leaseUntil = Math.max(leaseUntil, askedAt + set.leaseMs());
        }
    }

    /** The epoch under which the last question was asked. */
    public long askedEpoch() {
        return askedEpoch;
    }

    /** Whether a majority's word holds at this moment. */
    public boolean mayAct(long now) {
        return now < leaseUntil;
    }

    // ------------------------------------------------------------ slots

    /**
     * From when on this member may send for the slot, as far as is known; {@link #NEVER}: it may not. {@code
     * since}: what {@link Owners.Slot#since} was when the job was taken: a slot that went and came back does
     * not open for what was taken before.
     */
    public long from(long now, int slot, long since) {
        Owners.Slot s = owners.slots().get(slot);
        return mayAct(now) && s.owner().equals(self) && s.since() == since ? openAt[slot] : NEVER;
    }

    /** Slots for which this member has waited its time, and since when it has each: {@link Owners#opened}. */
    public Map<Integer, Long> opened(long now) {
        Map<Integer, Long> done = new TreeMap<>();
        for (int i = 0; i < openAt.length; i++) {
            Owners.Slot slot = owners.slots().get(i);
            if (slot.owner().equals(self) && !slot.leavers().isEmpty() && openAt[i] <= now) {
                done.put(i, slot.since());
            }
        }
        return done;
    }

    /** Slots that were this member's, and of which it may now say that nothing is out. */
    public Set<Integer> confirms(IntPredicate idle) {
        Set<Integer> done = new TreeSet<>();
        for (int i = 0; i < openAt.length; i++) {
            if (owners.slots().get(i).leavers().containsKey(self) && idle.test(i)) {
                done.add(i);
            }
        }
        return done;
    }
}
