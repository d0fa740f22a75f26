package maplespread.caller;

import java.util.function.LongConsumer;

/**
 * A set of 64-bit hashes of request ids: eight bytes for a slot, three quarters of the slots in use at most. Grows by use
 * up to {@link #MAX_HASHES}. Not thread-safe.
 */
final class RequestIdHashes {
    /** Maximum number of hashes, also counting removed ones. */
    static final int MAX_HASHES = 96 * 1024;

    private static final int MAX_SLOTS = MAX_HASHES / 3 * 4;
    private static final int INITIAL_SLOTS = 1024;
    private static final long EMPTY = 0;
    private static final long REMOVED = 1;
    /** Added to a hash that equals one of the reserved values. */
    private static final long RESERVED_VALUES = 2;

    /** Keeps clients from choosing ids that share their slots. */
    private final long salt;

    private long[] slots = new long[INITIAL_SLOTS];
    private int used;

    RequestIdHashes(long salt) {
        this.salt = salt;
    }

    boolean isFull() {
        return used >= MAX_HASHES;
    }

    boolean contains(long hash) {
        return slots[find(storable(hash))] != EMPTY;
    }

    /** Adds a hash that the set does not contain; the set must not be full. */
    void add(long hash) {
        if (used >= slots.length / 4 * 3 && slots.length < MAX_SLOTS) {
            grow();
        }
        slots[find(storable(hash))] = storable(hash);
        used++;
    }

    /** Removes a hash, whose slot is not used again before the set grows. */
    void remove(long hash) {
        int index = find(storable(hash));
        if (slots[index] != EMPTY) {
            slots[index] = REMOVED;
        }
    }

    void forEach(LongConsumer consumer) {
        for (long value : slots) {
            if (value != EMPTY && value != REMOVED) {
                consumer.accept(value);
            }
        }
    }

    private void grow() {
        long[] before = slots;
        slots = new long[2 * before.length];
        used = 0;
        for (long value : before) {
            if (value != EMPTY && value != REMOVED) {
                slots[find(value)] = value;
                used++;
            }
        }
    }

    /** Returns the index of the value, or of the empty slot where it belongs. */
    private int find(long value) {
        int index = (int) ((value ^ salt) * 0x9e3779b97f4a7c15L >>> 32) & slots.length - 1;
        while (slots[index] != EMPTY && slots[index] != value) {
            index = index + 1 & slots.length - 1;
        }
        return index;
    }

    private static long storable(long hash) {
        return hash == EMPTY || hash == REMOVED ? hash + RESERVED_VALUES : hash;
    }
}
