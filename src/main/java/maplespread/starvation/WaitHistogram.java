package maplespread.starvation;

import java.util.Arrays;

/**
 * Waits of some jobs, less their own work: those seen to their end, and those of which is only known that
 * they were at least so long. The bins are HdrHistogram's, the same in every process, so samples add up
 * exactly whatever the order; only bins in use are kept, as most samples are of a few jobs.
 */
final class WaitHistogram {
    private int[] keys = new int[4]; // a bin and whether held, ascending
    private int[] counts = new int[4];
    private int size, total, heldN;

    void add(boolean held, int bin, int count) {
        int key = bin << 1 | (held ? 1 : 0);
        int at = Arrays.binarySearch(keys, 0, size, key);
        if (at < 0) {
            at = -at - 1;
            if (size == keys.length) {
                keys = Arrays.copyOf(keys, 2 * size);
                counts = Arrays.copyOf(counts, 2 * size);
            }
            System.arraycopy(keys, at, keys, at + 1, size - at);
            System.arraycopy(counts, at, counts, at + 1, size - at);
            keys[at] = key;
            counts[at] = 0;
            size++;
        }
        counts[at] += count;
        total += count;
        heldN += held ? count : 0;
        if (counts[at] == 0) {
            size--;
            System.arraycopy(keys, at + 1, keys, at, size - at);
            System.arraycopy(counts, at + 1, counts, at, size - at);
        }
    }

    /** Adds another's counts so many times; below 0: takes them out. */
    void add(WaitHistogram o, int times) {
        for (int i = 0; i < o.size; i++) {
            add(o.held(i), o.bin(i), times * o.counts[i]);
        }
    }

    int total() {
        return total;
    }

    int held() {
        return heldN;
    }

    /** How many bins are in use; those served stand before those held in the same bin. */
    int size() {
        return size;
    }

    int bin(int i) {
        return keys[i] >> 1;
    }

    boolean held(int i) {
        return (keys[i] & 1) == 1;
    }

    int count(int i) {
        return counts[i];
    }
}
