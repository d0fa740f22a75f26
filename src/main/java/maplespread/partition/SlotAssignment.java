package maplespread.partition;

import com.google.gson.Gson;
import com.google.gson.annotations.SerializedName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.policy.StableHash;

/**
 * Who of the fleet may send for which slot of keys, and by which table: the one value that the fleet agrees
 * on, kept as text in a replicated register. Each command makes a new value of the old one.
 *
 * <p>A member is one run of one dispatcher, {@code NAME#RUN}, so that a restart is another member.
 * {@code version} grows with every change; {@code epoch} with those after which leases of before end:
 * members, silence and tables. {@code silent}: members that get no lease, and since which epoch; {@code
 * tableSince}: the epoch of the table; {@code stopped}: keys that are stopped until they are started again.
 */
public record SlotAssignment(
        long version,
        long epoch,
        Set<String> members,
        Map<String, Long> silent,
        List<Slot> slots,
        String table,
        @SerializedName("before") String previousTable,
        @SerializedName("tableSince") long tableEpoch,
        @SerializedName("stopped") Set<String> stoppedKeys) {
    /** More stopped keys than this are not stored. */
    public static final int MAX_STOPPED_KEYS = 1000;

    private static final Gson GSON = new Gson();

    /**
     * {@code owner}: a member, empty: nobody; {@code since}: the epoch at which it came to own the slot;
     * {@code leavers}: earlier owners that may still have jobs out, and since which epoch they have been
     * silent without a break; 0: they were not.
     */
    public record Slot(
            String owner,
            @SerializedName("since") long ownedSinceEpoch,
            @SerializedName("leavers") Map<String, Long> previousOwners) {
        public Slot {
            previousOwners = Map.copyOf(previousOwners);
        }
    }

    public SlotAssignment {
        members = Set.copyOf(members);
        silent = Map.copyOf(silent);
        slots = List.copyOf(slots);
        stoppedKeys = Set.copyOf(stoppedKeys);
    }

    /** Before anything was agreed on: nobody owns anything. */
    public static SlotAssignment initial(int slots, String table) {
        return initial(slots, table, 1);
    }

    /** The same, counting from a number beyond those of any value that was lost. */
    public static SlotAssignment initial(int slots, String table, long number) {
        List<Slot> all = new ArrayList<>();
        for (int i = 0; i < slots; i++) {
            all.add(new Slot("", number, Map.of()));
        }
        return new SlotAssignment(number, number, Set.of(), Map.of(), all, table, table, number, Set.of());
    }

    /**
     * The same tables and stopped keys, and no owners: for a value of which newer ones may be lost.
     * To be written once all that was sent before is over; {@code number}: beyond those that there were.
     */
    public SlotAssignment reinitialized(long number) {
        SlotAssignment bare = initial(slots.size(), table, number);
        return new SlotAssignment(number, number, Set.of(), Map.of(), bare.slots, table, table, number, stoppedKeys);
    }

    public static SlotAssignment fromJson(String text) {
        return GSON.fromJson(text, SlotAssignment.class);
    }

    public String toJson() {
        return GSON.toJson(this);
    }

    /** The slot of a key. */
    public int slotOf(String key) {
        return (int) Math.floorMod(StableHash.hash(key), (long) slots.size());
    }

    /**
     * These are the members now. Each slot goes to the one of them with the highest hash of name and slot, so
     * that only slots of those that come or go move.
     */
    public SlotAssignment members(Set<String> now) {
        if (now.stream().map(SlotAssignment::dispatcherName).distinct().count() < now.size()) {
            throw new IllegalArgumentException("two runs of one dispatcher: " + now);
        }
        if (now.equals(members)) {
            return this;
        }
        List<Slot> next = new ArrayList<>();
        for (int i = 0; i < slots.size(); i++) {
            next.add(move(slots.get(i), rendezvousOwner(i, now)));
        }
        Map<String, Long> quiet = new TreeMap<>(silent);
        quiet.keySet().retainAll(now);
        return new SlotAssignment(
                version + 1, epoch + 1, now, quiet, next, table, previousTable, tableEpoch, stoppedKeys);
    }

    private Slot move(Slot slot, String to) {
        if (slot.owner.equals(to)) {
            return slot;
        }
        Map<String, Long> leavers = new TreeMap<>(slot.previousOwners);
        if (!slot.owner.isEmpty()) {
            leavers.put(slot.owner, silent.getOrDefault(slot.owner, 0L));
        }
        leavers.remove(to); // knows by itself what it has out
        return new Slot(to, epoch + 1, leavers);
    }

    private static String rendezvousOwner(int slot, Set<String> members) {
        String best = "";
        long most = 0;
        for (String m : members) {
            long hash = StableHash.hash(dispatcherName(m) + "/" + slot);
            if (best.isEmpty() || hash > most || hash == most && m.compareTo(best) < 0) {
                best = m;
                most = hash;
            }
        }
        return best;
    }

    /** The dispatcher whose run it is. */
    public static String dispatcherName(String member) {
        return member.substring(0, member.lastIndexOf('#'));
    }

    /**
     * These members have not been heard: they get no lease until they are. No slot moves by this, but the
     * time that a successor has to wait begins to run.
     */
    public SlotAssignment silent(Set<String> now) {
        Map<String, Long> next = new TreeMap<>();
        now.stream().filter(members::contains).forEach(m -> next.put(m, silent.getOrDefault(m, epoch + 1)));
        return next.equals(silent)
                ? this
                : new SlotAssignment(
                        version + 1, epoch + 1, members, next, slots, table, previousTable, tableEpoch, stoppedKeys);
    }

    /** The member says that it has nothing out for these slots, which it has lost, and will not have. */
    public SlotAssignment confirmDrained(String member, Set<Integer> done) {
        List<Slot> next = new ArrayList<>(slots);
        for (int i : done) {
            Map<String, Long> leavers = new TreeMap<>(slots.get(i).previousOwners);
            leavers.remove(member);
            next.set(i, new Slot(slots.get(i).owner, slots.get(i).ownedSinceEpoch, leavers));
        }
        return next.equals(slots)
                ? this
                : new SlotAssignment(
                        version + 1, epoch, members, silent, next, table, previousTable, tableEpoch, stoppedKeys);
    }

    /**
     * The member has waited until all that its slots' earlier owners had out is surely over: they are
     * forgotten, or the next owner would wait again for who never confirms. {@code done}: the slots, and
     * since when it has each; one that went and came back meanwhile is passed over.
     */
    public SlotAssignment forgetPreviousOwners(String member, Map<Integer, Long> done) {
        List<Slot> next = new ArrayList<>(slots);
        done.forEach((i, since) -> {
            Slot s = slots.get(i);
            if (s.owner.equals(member) && s.ownedSinceEpoch == since) {
                next.set(i, new Slot(member, since, Map.of()));
            }
        });
        return next.equals(slots)
                ? this
                : new SlotAssignment(
                        version + 1, epoch, members, silent, next, table, previousTable, tableEpoch, stoppedKeys);
    }

    /**
     * Another table counts. {@code seen}: {@link #tableEpoch} as the caller knows it, and has known for
     * {@link RoutingTableTransition#mayChange}; where another table has come meanwhile, nothing changes.
     */
    public SlotAssignment table(String next, long seen) {
        return seen != tableEpoch || next.equals(table)
                ? this
                : new SlotAssignment(
                        version + 1, epoch + 1, members, silent, slots, next, table, epoch + 1, stoppedKeys);
    }

    /**
     * The key's head has failed at this member, under a rule that stops it. Counts only while the member owns
     * the key's slot: a successor that has waited long enough does not look here again.
     */
    public SlotAssignment stopKey(String member, String key) {
        return stoppedKeys.contains(key)
                        || stoppedKeys.size() >= MAX_STOPPED_KEYS
                        || !slots.get(slotOf(key)).owner.equals(member)
                ? this
                : with(key, true);
    }

    /** The key may go on. */
    public SlotAssignment startKey(String key) {
        return stoppedKeys.contains(key) ? with(key, false) : this;
    }

    private SlotAssignment with(String key, boolean in) {
        Set<String> next = new TreeSet<>(stoppedKeys);
        if (in) {
            next.add(key);
        } else {
            next.remove(key);
        }
        return new SlotAssignment(version + 1, epoch, members, silent, slots, table, previousTable, tableEpoch, next);
    }

    /** Whether an elector that holds this value may tell the member that its epoch is the latest. */
    public boolean grantsLease(String member, long asked) {
        return asked >= epoch && members.contains(member) && !silent.containsKey(member);
    }
}
