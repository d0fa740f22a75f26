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
 * Which member may send for which slot of keys, and by which table: the one value that the fleet agrees on, kept as
 * JSON in a replicated register. Immutable; each command returns a new value, or this one where nothing changes.
 * The names in the JSON are older than the code's, and are kept for members of earlier versions.
 *
 * <p>A member is one incarnation of one dispatcher, {@code NAME#INCARNATION}, so that a restart is another member.
 *
 * @param version grows with every change
 * @param epoch grows with those changes after which earlier leases end: of members, silence and tables
 * @param members who may own slots
 * @param silent members that get no lease, and since which epoch
 * @param slots by number
 * @param table the table in force, compressed
 * @param previousTable the one before it, compressed
 * @param tableEpoch the epoch at which the table came
 * @param stoppedKeys keys that are stopped until an operator starts them
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
    private static final char INCARNATION_MARK = '#';

    /**
     * One slot of keys.
     *
     * @param owner a member; empty: nobody
     * @param ownedSinceEpoch the epoch at which the owner came to own it
     * @param previousOwners those that may still have requests in flight, and since which epoch each has been silent
     *     without a break; 0: it was not
     */
    public record Slot(
            String owner,
            @SerializedName("since") long ownedSinceEpoch,
            @SerializedName("leavers") Map<String, Long> previousOwners) {
        /** Copies what it is given. */
        public Slot {
            previousOwners = Map.copyOf(previousOwners);
        }
    }

    /** Copies what it is given. */
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
        List<Slot> ownerless = new ArrayList<>();
        for (int i = 0; i < slots; i++) {
            ownerless.add(new Slot("", number, Map.of()));
        }
        return new SlotAssignment(number, number, Set.of(), Map.of(), ownerless, table, table, number, Set.of());
    }

    /**
     * The same tables and stopped keys, and no owners: for a value of which newer ones may be lost. To be written
     * once all that was sent before is over.
     *
     * @param number beyond the versions and epochs that there were
     */
    public SlotAssignment reinitialized(long number) {
        SlotAssignment bare = initial(slots.size(), table, number);
        return new SlotAssignment(number, number, Set.of(), Map.of(), bare.slots, table, table, number, stoppedKeys);
    }

    /** Throws Gson's exceptions for a text that {@link #toJson} has not made. */
    public static SlotAssignment fromJson(String json) {
        return GSON.fromJson(json, SlotAssignment.class);
    }

    /** As it is stored. */
    public String toJson() {
        return GSON.toJson(this);
    }

    /** The number of the slot that a key belongs to. */
    public int slotOf(String key) {
        return (int) Math.floorMod(StableHash.hash(key), (long) slots.size());
    }

    /** The dispatcher whose incarnation the member is. */
    public static String dispatcherName(String member) {
        return member.substring(0, member.lastIndexOf(INCARNATION_MARK));
    }

    // ------------------------------------------------------------ members and their slots

    /**
     * These are the members now. Each slot goes to the one of them with the highest hash of name and slot, so that
     * only slots of those that come or go move. Throws an IllegalArgumentException where two are incarnations of one
     * dispatcher.
     */
    public SlotAssignment members(Set<String> next) {
        if (next.stream().map(SlotAssignment::dispatcherName).distinct().count() < next.size()) {
            throw new IllegalArgumentException("two runs of one dispatcher: " + next);
        }
        if (next.equals(members)) {
            return this;
        }
        List<Slot> nextSlots = new ArrayList<>();
        for (int i = 0; i < slots.size(); i++) {
            nextSlots.add(moved(slots.get(i), rendezvousOwner(i, next)));
        }
        Map<String, Long> stillSilent = new TreeMap<>(silent);
        stillSilent.keySet().retainAll(next);
        return new SlotAssignment(
                version + 1, epoch + 1, next, stillSilent, nextSlots, table, previousTable, tableEpoch, stoppedKeys);
    }

    private Slot moved(Slot slot, String nextOwner) {
        if (slot.owner.equals(nextOwner)) {
            return slot;
        }
        Map<String, Long> previousOwners = new TreeMap<>(slot.previousOwners);
        if (!slot.owner.isEmpty()) {
            previousOwners.put(slot.owner, silent.getOrDefault(slot.owner, 0L));
        }
        previousOwners.remove(nextOwner); // it knows by itself what it has in flight
        return new Slot(nextOwner, epoch + 1, previousOwners);
    }

    private static String rendezvousOwner(int slot, Set<String> members) {
        String owner = "";
        long highest = 0;
        for (String member : members) {
            long hash = StableHash.hash(dispatcherName(member) + "/" + slot);
            if (owner.isEmpty() || hash > highest || hash == highest && member.compareTo(owner) < 0) {
                owner = member;
                highest = hash;
            }
        }
        return owner;
    }

    /**
     * These members have not been heard: they get no lease until they are. No slot moves by this, but the time that
     * a successor has to wait begins to run.
     */
    public SlotAssignment silent(Set<String> unheard) {
        Map<String, Long> next = new TreeMap<>();
        unheard.stream()
                .filter(members::contains)
                .forEach(member -> next.put(member, silent.getOrDefault(member, epoch + 1)));
        return next.equals(silent)
                ? this
                : new SlotAssignment(
                        version + 1, epoch + 1, members, next, slots, table, previousTable, tableEpoch, stoppedKeys);
    }

    /** The member has nothing in flight for these slots, which it has lost, and will not have. */
    public SlotAssignment confirmDrained(String member, Set<Integer> drained) {
        List<Slot> next = new ArrayList<>(slots);
        for (int number : drained) {
            Slot slot = slots.get(number);
            Map<String, Long> previousOwners = new TreeMap<>(slot.previousOwners);
            previousOwners.remove(member);
            next.set(number, new Slot(slot.owner, slot.ownedSinceEpoch, previousOwners));
        }
        return withSlots(next);
    }

    /**
     * The member has waited until all that its slots' earlier owners had in flight is surely over: they are
     * forgotten, or the next owner would wait again for those that never confirm.
     *
     * @param opened the slots, and since which epoch it owns each; one that went and came back meanwhile is passed
     *     over
     */
    public SlotAssignment forgetPreviousOwners(String member, Map<Integer, Long> opened) {
        List<Slot> next = new ArrayList<>(slots);
        opened.forEach((number, sinceEpoch) -> {
            Slot slot = slots.get(number);
            if (slot.owner.equals(member) && slot.ownedSinceEpoch == sinceEpoch) {
                next.set(number, new Slot(member, sinceEpoch, Map.of()));
            }
        });
        return withSlots(next);
    }

    private SlotAssignment withSlots(List<Slot> next) {
        return next.equals(slots)
                ? this
                : new SlotAssignment(
                        version + 1, epoch, members, silent, next, table, previousTable, tableEpoch, stoppedKeys);
    }

    // ------------------------------------------------------------ tables and stopped keys

    /**
     * Another table is in force. Nothing changes where yet another one has come meanwhile.
     *
     * @param next compressed
     * @param knownTableEpoch {@link #tableEpoch} as the caller knows it, and has known for as long as {@link
     *     RoutingTableTransition#mayChange} asks
     */
    public SlotAssignment table(String next, long knownTableEpoch) {
        return knownTableEpoch != tableEpoch || next.equals(table)
                ? this
                : new SlotAssignment(
                        version + 1, epoch + 1, members, silent, slots, next, table, epoch + 1, stoppedKeys);
    }

    /**
     * A request of the key has failed at this member, under a rule that stops it. Counts only while the member owns
     * the key's slot: a successor that has waited long enough does not look here again.
     */
    public SlotAssignment stopKey(String member, String key) {
        boolean stored = stoppedKeys.contains(key);
        boolean owned = slots.get(slotOf(key)).owner.equals(member);
        return stored || stoppedKeys.size() >= MAX_STOPPED_KEYS || !owned ? this : withStopped(key, true);
    }

    /** The key takes requests again. */
    public SlotAssignment startKey(String key) {
        return stoppedKeys.contains(key) ? withStopped(key, false) : this;
    }

    private SlotAssignment withStopped(String key, boolean stopped) {
        Set<String> next = new TreeSet<>(stoppedKeys);
        if (stopped) {
            next.add(key);
        } else {
            next.remove(key);
        }
        return new SlotAssignment(version + 1, epoch, members, silent, slots, table, previousTable, tableEpoch, next);
    }

    /** Whether an elector that holds this value may tell the member that the epoch it knows is the latest. */
    public boolean grantsLease(String member, long knownEpoch) {
        return knownEpoch >= epoch && members.contains(member) && !silent.containsKey(member);
    }
}
