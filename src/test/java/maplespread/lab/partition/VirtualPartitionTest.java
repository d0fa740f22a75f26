package maplespread.lab.partition;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Fleets by seeds; each failure names its seed. */
class VirtualPartitionTest {
    private static final int HISTORIES = 2000;
    private static final int SIZE = 4;
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();

    private String play(long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        VirtualPartition v = new VirtualPartition(SIZE, seed);
        v.run(300);
        v.loss = r.nextInt(3) * 0.1;
        for (int step = 0; step < 10 && v.fault().isEmpty(); step++) {
            int one = r.nextInt(SIZE);
            switch (r.nextInt(9)) {
                case 0 -> v.kill(one);
                case 1 -> v.restart(one);
                case 2 -> v.freeze(one, r.nextInt(1200));
                case 3 -> v.cut(one, true, r.nextBoolean());
                case 4 -> v.cut(one, false, r.nextBoolean());
                case 5 -> v.misjudge(one);
                case 6 -> v.startKeys();
                default -> v.table("v" + r.nextInt(3)); // there and back, half heard of
            }
            v.run(r.nextInt(350));
        }
        for (int i = 0; i < SIZE; i++) {
            v.cut(i, false, false);
            v.freeze(i, 0);
            v.restart(i);
        }
        v.loss = 0;
        v.run(500);
        v.load = false;
        v.run(3500);
        v.answers().forEach((word, n) -> answers.merge(word, n, Integer::sum));
        return !v.fault().isEmpty() || v.unanswered() == 0 ? v.fault() : v.unanswered() + " without an answer";
    }

    @Test
    void neverOutOfOrderNeverTwoAtOnceNeverTwiceAndEachIsAnswered() {
        IntStream.range(0, HISTORIES).parallel().forEach(seed -> {
            String fault = play(seed);
            assertTrue(fault.isEmpty(), "seed " + seed + ": " + fault);
        });
        System.out.println("jobs: " + answers.values().stream().mapToInt(n -> n).sum());
        System.out.println(HISTORIES + " histories: " + answers);
        int all = answers.values().stream().mapToInt(n -> n).sum();
        assertTrue(answers.get("done") > all / 2, "most are to be served: " + answers);
    }

    /** A slot is served again within the bound that follows from the settings. */
    @Test
    void slotsOfALostOwnerAreServedAgainWithinTheirBound() {
        for (String what : new String[] {"killed", "frozen", "cut off"}) {
            long[] times = IntStream.range(0, 60)
                    .parallel()
                    .mapToLong(seed -> {
                        VirtualPartition v = new VirtualPartition(10, seed);
                        v.run(1500);
                        int one = seed % 10;
                        return v.unserved(one, () -> {
                            switch (what) {
                                case "killed" -> v.kill(one);
                                case "frozen" -> v.freeze(one, 60_000);
                                default -> v.cut(one, true, true);
                            }
                        });
                    })
                    .sorted()
                    .toArray();
            System.out.println(what + ": p50 " + times[30] + " ms, worst " + times[59] + " ms");
            assertTrue(times[0] >= 0, "never served again, " + what + " " + Arrays.toString(times));
            assertTrue(times[59] <= 1100, what + " " + Arrays.toString(times));
        }
    }
}
