package maplespread.policy;

import java.util.Arrays;

/** Values by a small index, such as a request class's; 0 where none was set. Grows as needed. */
final class DoublesByIndex {
    private double[] values = {};

    double get(int index) {
        return index < values.length ? values[index] : 0;
    }

    void set(int index, double value) {
        if (index >= values.length) {
            values = Arrays.copyOf(values, index + 1);
        }
        values[index] = value;
    }
}
