package maplespread.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import maplespread.lab.agreement.VirtualAgreement;
import maplespread.lab.agreement.VirtualAgreement.Node;
import org.junit.jupiter.api.Test;

/** Histories on a virtual network, by seeds that are printed where one fails. */
class AgreementTest {
    private static final int HISTORIES = Integer.getInteger("histories", 1500);
    private static final int FIRST = Integer.getInteger("first", 0);
    private static final List<String> THREE = List.of("n0", "n1", "n2");

    private static VirtualAgreement group(int size, long seed) {
        VirtualAgreement g = new VirtualAgreement(THREE, seed);
        for (int i = 0; i < size; i++) {
            g.start("n" + i);
        }
        return g;
    }

    private static void until(VirtualAgreement g, long mostMs, String what, BooleanSupplier condition) {
        long end = g.now() + mostMs;
        while (!condition.getAsBoolean()) {
            assertTrue(g.now() < end, what + " not within " + mostMs + " ms");
            g.run(10);
        }
    }

    private static boolean sighted(VirtualAgreement g) {
        return g.alive().stream().noneMatch(n -> n.core.blind());
    }

    /** One step of trouble: links, standstills, kills that spare a majority, and starts of those that died. */
    private static void trouble(VirtualAgreement g, SplittableRandom random, int size, boolean kills) {
        String one = "n" + random.nextInt(size), two = "n" + random.nextInt(size);
        switch (random.nextInt(10)) {
            case 0, 1 -> {
                if (g.node(one) == null) {
                    g.start(one);
                } else if (kills && g.spared(one)) {
                    g.kill(one);
                    if (random.nextBoolean()) {
                        g.start(one);
                    }
                }
            }
            case 2 -> g.stall(one, random.nextInt(1500));
            case 3 -> g.cut(one, two);
            case 4 -> g.split(new java.util.TreeSet<>(List.of(one, two)));
            case 5, 6 -> g.heal();
            case 7 -> g.loss = random.nextInt(4) * 0.1;
            case 8 -> g.twice = random.nextInt(3) * 0.3;
            default -> g.delayMs = 1 + random.nextInt(random.nextBoolean() ? 30 : 400);
        }
    }

    /** Changes, reads, refusals and moves of the electors under every fault; then peace, and all are served. */
    @Test
    void whateverHappensWhatIsDecidedIsOneSequenceAndGoesOnOnceFaultsStop() {
        int decided = 0, moved = 0;
        for (int seed = FIRST; seed < FIRST + HISTORIES; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int size = 4 + random.nextInt(3);
            VirtualAgreement g = group(size, seed);
            int[] moves = {0};
            for (int step = 0; step < 40; step++) {
                trouble(g, random, size, true);
                for (int i = random.nextInt(4); i > 0; i--) {
                    Node n = g.node("n" + random.nextInt(size));
                    if (n == null) {
                        continue;
                    }
                    String token = "t" + step + '.' + i;
                    switch (random.nextInt(8)) {
                        case 0 -> n.change("", Change.READ, 1500, r -> { });
                        case 1 -> n.change(token, v -> {
                            if (v.version() % 2 == 0) {
                                throw new Refused("even", "all", "wait");
                            }
                            return v.text() + token + ' ';
                        }, 1500, r -> { });
                        case 2 -> {
                            List<String> next = new ArrayList<>();
                            for (int e = 0, from = random.nextInt(size); e < 3 + random.nextInt(2) && e < size; e++) {
                                next.add("n" + (from + e) % size);
                            }
                            n.electors(next, 2500, r -> moves[0] += r.kind() == Result.Kind.DECIDED ? 1 : 0);
                        }
                        default -> n.append(token, 500 + random.nextInt(2500));
                    }
                }
                g.run(random.nextInt(300));
            }
            g.heal();
            for (int i = 0; i < size; i++) {
                if (g.node("n" + i) == null) {
                    g.start("n" + i);
                }
            }
            String at = "seed " + seed;
            until(g, 10_000, "sight, " + at, () -> sighted(g));
            g.alive().forEach(n -> n.append("end" + n.name, 20_000));
            until(g, 20_000, "the last changes, " + at, () -> g.told().stream().filter(t ->
                t.token().startsWith("end")).count() == g.alive().size());
            until(g, 2500, "the last word to all, " + at, () -> g.alive().stream().allMatch(n ->
                g.last().equals(n.core.known())));
            assertEquals(List.of(), g.faults(), at);
            long ends = g.told().stream().filter(t -> t.result().kind() == Result.Kind.DECIDED).count();
            assertTrue(g.told().stream().filter(t -> t.token().startsWith("end")).allMatch(t ->
                t.result().kind() == Result.Kind.DECIDED), at + g.told());
            decided += ends;
            moved += moves[0];
        }
        System.out.println(HISTORIES + " histories, decided " + decided + ", moves " + moved);
        assertTrue(decided > 10 * HISTORIES && moved > HISTORIES, decided + " decided, " + moved + " moves");
    }
}
