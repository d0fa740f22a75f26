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
 * Assigns slots of keys to members: which member may send requests for which slot, and under which routing table. It is
 * the one replicated value that all members agree on, stored as JSON. Immutable; each modifying method returns a new
 * value, or this one if nothing changes. The names in the JSON predate the names in the code and are kept for members
 * of earlier versions.
 *
 * <p>A member is one incarnation of one dispatcher, {@code NAME#INCARNATION}, so a restarted dispatcher is a different
 * member.
 *
 * @param version incremented by every change
 * @param epoch incremented by every change that ends earlier leases: of the members, the silent members or the table
 * @param members the members that may own slots
 * @param silent members that get no lease, each with the epoch since which it has been silent
 * @param slots the slots, by number
 * @param table the routing table in force, compressed
 * @param previousTable the routing table before that one, compressed
 * @param tableEpoch the epoch at which the routing table came into force
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
    /** Maximum number of stopped keys that are stored; a stop beyond it is not stored. */
    public static final int MAX_STOPPED_KEYS = 1000;

    private static final Gson GSON = new Gson();
    private static final char INCARNATION_SEPARATOR = '#';

    /**
     * One slot of keys.
     *
     * @param owner the member that owns the slot; empty: none
     * @param ownedSinceEpoch the epoch at which the owner came to own the slot
     * @param previousOwners members that may still have requests in flight, each with the epoch since which it has been
     *     silent without interruption; 0: it was not silent when it lost the slot
     */
    public record Slot(
            String owner,
            @SerializedName("since") long ownedSinceEpoch,
            @SerializedName("leavers") Map<String, Long> previousOwners) {
        /** Makes a defensive copy of the map. */
        public Slot {
            previousOwners = Map.copyOf(previousOwners);
        }
    }

    /** Makes defensive copies of the collections. */
    public SlotAssignment {
        members = Set.copyOf(members);
        silent = Map.copyOf(silent);
        slots = List.copyOf(slots);
        stoppedKeys = Set.copyOf(stoppedKeys);
    }

    /** The assignment before anything was agreed on: no slot has an owner. */
    public static SlotAssignment initial(int slots, String table) {
        return initial(slots, table, 1);
    }

    /**
     * The initial assignment, with numbers beyond those of any value that was lost.
     *
     * @param startNumber the version and the epoch to start at
     */
    public static SlotAssignment initial(int slots, String table, long startNumber) {
        List<Slot> ownerless = new ArrayList<>();
        for (int i = 0; i < slots; i++) {
            ownerless.add(new Slot("", startNumber, Map.of()));
        }
        return new SlotAssignment(
                startNumber, startNumber, Set.of(), Map.of(), ownerless, table, table, startNumber, Set.of());
    }

    /**
     * The same tables and stopped keys without owners, for recovery when newer values may be lost. May be written only
     * once all requests sent under earlier values are over.
     *
     * @param startNumber the version and the epoch to start at, beyond all earlier ones
     */
    public SlotAssignment reinitialized(long startNumber) {
        SlotAssignment ownerless = initial(slots.size(), table, startNumber);
        return new SlotAssignment(
                startNumber, startNumber, Set.of(), Map.of(), ownerless.slots, table, table, startNumber, stoppedKeys);
    }

    /** Parses the stored JSON. Throws Gson's exceptions for a text that {@link #toJson} did not produce. */
    public static SlotAssignment fromJson(String json) {
        return GSON.fromJson(json, SlotAssignment.class);
    }

    /** The JSON in which the assignment is stored. */
    public String toJson() {
        return GSON.toJson(this);
    }

    /** The number of the slot that a key belongs to. */
    public int slotOf(String key) {
        return (int) Math.floorMod(StableHash.hash(key), (long) slots.size());
    }

    /** The name of the dispatcher that the member is an incarnation of. */
    public static String dispatcherName(String member) {
        return member.substring(0, member.lastIndexOf(INCARNATION_SEPARATOR));
    }

    // ------------------------------------------------------------ members and their slots

    /**
     * Replaces the set of members. The owner of each slot is the member with the highest hash of name and slot number,
     * so only slots of joining or leaving members move. Throws an IllegalArgumentException if two members are
     * incarnations of one dispatcher.
     */
    public SlotAssignment members(Set<String> next) {
        if (next.stream().map(SlotAssignment::dispatcherName).distinct().count() < next.size()) {
            throw new IllegalArgumentException("two incarnations of one dispatcher: " + next);
        }
        if (next.equals(members)) {
            return this;
        }
        List<Slot> nextSlots = new ArrayList<>();
        for (int i = 0; i < slots.size(); i++) {
            nextSlots.add(withOwner(slots.get(i), rendezvousOwner(i, next)));
        }
        Map<String, Long> stillSilent = new TreeMap<>(silent);
        stillSilent.keySet().retainAll(next);
        return new SlotAssignment(
                version + 1, epoch + 1, next, stillSilent, nextSlots, table, previousTable, tableEpoch, stoppedKeys);
    }

    private Slot withOwner(Slot slot, String nextOwner) {
        if (slot.owner.equals(nextOwner)) {
            return slot;
        }
        Map<String, Long> previousOwners = new TreeMap<>(slot.previousOwners);
        if (!slot.owner.isEmpty()) {
            previousOwners.put(slot.owner, silent.getOrDefault(slot.owner, 0L));
        }
        previousOwners.remove(nextOwner); // the new owner knows its own requests in flight
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
     * Replaces the set of silent members, which get no lease until they are heard again. No slot moves, but the hold
     * time that a later owner has to wait starts to run.
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

    /**
     * Records that the member has no request in flight for these slots, which it has lost, and that it will send none.
     */
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
     * Removes the previous owners of slots for which the member has waited out the hold time, so that all their
     * requests are over. Otherwise the next owner would wait again for previous owners that never confirm.
     *
     * @param opened the slots, each with the epoch since which the member owns it; a slot that was lost and regained in
     *     the meantime is skipped
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
     * Puts another routing table in force. Changes nothing if yet another table has come into force in the meantime.
     *
     * @param next the routing table, compressed
     * @param knownTableEpoch the {@link #tableEpoch} known to the caller, which has known it for as long as
     *     {@link RoutingTableTransition#mayChange} requires
     */
    public SlotAssignment table(String next, long knownTableEpoch) {
        return knownTableEpoch != tableEpoch || next.equals(table)
                ? this
                : new SlotAssignment(
                        version + 1, epoch + 1, members, silent, slots, next, table, epoch + 1, stoppedKeys);
    }

    /**
     * Stops the key after a request of it failed at this member, under a rule that stops the key. Has an effect only
     * while the member owns the key's slot, because a later owner that has waited out the hold time may already have
     * sent the key's next requests.
     */
    public SlotAssignment stopKey(String member, String key) {
        boolean stored = stoppedKeys.contains(key);
        boolean owned = slots.get(slotOf(key)).owner.equals(member);
        return stored || stoppedKeys.size() >= MAX_STOPPED_KEYS || !owned ? this : withStopped(key, true);
    }

    /** Makes a stopped key accept requests again. */
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

    /**
     * Whether an elector that holds this value may grant the member a lease, by confirming that the epoch the member
     * knows is the latest.
     */
    public boolean grantsLease(String member, long knownEpoch) {
        return knownEpoch >= epoch && members.contains(member) && !silent.containsKey(member);
    }
}
