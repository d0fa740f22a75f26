package maplespread.decision;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What peers tell each other of the work that they have at workers: the bytes, and sums of the last words.
 * Version 1, then for each worker sixteen bits of a hash of its id and a load in eighths of a mean job. A
 * peer's word stands for all that it said before. It decides nothing, and holds nothing for silent peers.
 */
final class PeerWords {
    private static final int LIMIT = 256;                        // the most bytes that a message may have

    private record Word(int from, double told, List<double[]> at, List<Double> load) { }

    private final Map<Integer, double[]> sums = new HashMap<>();
    private final Map<Integer, Word> last = new HashMap<>();
    private final ArrayDeque<Word> order = new ArrayDeque<>();
    private double typical;

    /** The running sum of all peers' work at a worker, in place. */
    double[] sum(String worker) {
        return sums.computeIfAbsent(tag(worker), t -> new double[1]);
    }

    /** How many peers' words are known. */
    int known() {
        return last.size();
    }

    /** What one node tells in all, on average. */
    double typical() {
        return typical;
    }

    /** Takes a message in; {@code unit} is the work of a mean job. Foreign bytes are passed over. */
    void hear(int from, byte[] message, double now, double unit) {
        if (message.length == 0 || message[0] != 1) {
            return;
        }
        Word word = new Word(from, now, new ArrayList<>(), new ArrayList<>());
        double all = 0;
        for (int i = 1; i + 2 < message.length; i += 3) {
            double[] sum = sums.get((message[i] & 255) << 8 | message[i + 1] & 255);
            if (sum != null) {
                double load = (message[i + 2] & 255) / 8.0 * unit;
                word.at.add(sum);
                word.load.add(load);
                sum[0] += load;
                all += load;
            }
        }
        forget(last.put(from, word));
        order.addLast(word);
        typical += 0.5 * (all - typical) / (last.size() + 1);
    }

    /** Takes back the words told before that time. */
    void expire(double before) {
        while (!order.isEmpty() && order.peekFirst().told < before) {
            Word old = order.removeFirst();
            if (last.get(old.from) == old) {
                forget(last.remove(old.from));
            }
        }
    }

    private static void forget(Word old) {
        for (int i = 0; old != null && i < old.at.size(); i++) {
            old.at.get(i)[0] = Math.max(0, old.at.get(i)[0] - old.load.get(i));
        }
    }

    /** A message of the given workers and their loads, in mean jobs; what finds no room is left out. */
    static byte[] message(List<String> workers, List<Double> jobs) {
        ByteBuffer b = ByteBuffer.allocate(LIMIT).put((byte) 1);
        for (int i = 0; i < workers.size() && b.remaining() >= 3; i++) {
            b.putShort((short) tag(workers.get(i))).put((byte) Math.min(255, Math.round(jobs.get(i) * 8)));
        }
        return Arrays.copyOf(b.array(), b.position());
    }

    private static int tag(String id) {
        int h = 0x811c9dc5;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 16777619;
        }
        return (h ^ h >>> 16) & 0xffff;
    }
}
