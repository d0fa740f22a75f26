package maplespread.starvation;

import java.util.Arrays;

/**
 * Waits of some requests, less their own work: those seen to their end, and censored ones, of which is only
 * known that they were at least so long. The bins are HdrHistogram's, the same in every process, so histograms
 * add up exactly whatever the order; only bins in use are kept, as most histograms are of a few requests. Not
 * thread-safe.
 */
final class WaitHistogram {
    private static final int INITIAL_SIZE = 4;

    /** By index a bin, and in the lowest bit whether its waits are censored; ascending. */
    private int[] keys = new int[INITIAL_SIZE];

    private int[] counts = new int[INITIAL_SIZE];
    private int size;
    private int total;
    private int censoredTotal;

    /** Adds to a bin's count; below 0: takes out. */
    void add(boolean censored, int bin, int count) {
        int key = bin << 1 | (censored ? 1 : 0);
        int index = Arrays.binarySearch(keys, 0, size, key);
        if (index < 0) {
            index = -index - 1;
            insert(index, key);
        }
        counts[index] += count;
        total += count;
        censoredTotal += censored ? count : 0;
        if (counts[index] == 0) {
            size--;
            System.arraycopy(keys, index + 1, keys, index, size - index);
            System.arraycopy(counts, index + 1, counts, index, size - index);
        }
    }

    private void insert(int index, int key) {
        if (size == keys.length) {
            keys = Arrays.copyOf(keys, 2 * size);
            counts = Arrays.copyOf(counts, 2 * size);
        }
        System.arraycopy(keys, index, keys, index + 1, size - index);
        System.arraycopy(counts, index, counts, index + 1, size - index);
        keys[index] = key;
        counts[index] = 0;
        size++;
    }

    /** Adds another histogram's counts so many times; below 0: takes them out. */
    void add(WaitHistogram other, int times) {
        for (int i = 0; i < other.size; i++) {
            add(other.censored(i), other.bin(i), times * other.counts[i]);
        }
    }

    /** How many requests it holds. */
    int total() {
        return total;
    }

    /** How many of them are censored. */
    int censoredTotal() {
        return censoredTotal;
    }

    /** How many indexes are in use; waits seen to their end stand before censored ones of the same bin. */
    int size() {
        return size;
    }

    int bin(int index) {
        return keys[index] >> 1;
    }

    boolean censored(int index) {
        return (keys[index] & 1) == 1;
    }

    int count(int index) {
        return counts[index];
    }
}
