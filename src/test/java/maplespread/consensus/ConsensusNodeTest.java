package maplespread.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import maplespread.lab.agreement.ExhaustiveInterleavings;
import maplespread.lab.agreement.RandomInterleavings;
import maplespread.lab.agreement.VirtualAgreement;
import maplespread.lab.agreement.VirtualAgreement.Node;
import org.junit.jupiter.api.Test;

/** Histories on a virtual network, by seeds that are printed where one fails. */
class ConsensusNodeTest {
    private static final int HISTORIES = Integer.getInteger("histories", 120);
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
        return g.alive().stream().noneMatch(n -> n.core.recovering());
    }

    /** One step of trouble: links, standstills, kills that spare a majority, and starts. */
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

    /** Changes, reads, refusals and moves under every fault; then peace, and all are served. */
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
                        case 0 -> n.change("", Mutation.READ, 1500, r -> {});
                        case 1 ->
                            n.change(
                                    token,
                                    v -> {
                                        if (v.version() % 2 == 0) {
                                            throw new ChangeRejectedException("even", "all", "wait");
                                        }
                                        return v.text() + token + ' ';
                                    },
                                    1500,
                                    r -> {});
                        case 2 -> {
                            List<String> next = new ArrayList<>();
                            for (int e = 3 + random.nextInt(2), from = random.nextInt(size); e > 0; e--) {
                                next.add("n" + (from + e) % size);
                            }
                            n.electors(
                                    next, 2500, r -> moves[0] += r.outcome() == ChangeResult.Outcome.DECIDED ? 1 : 0);
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
            until(
                    g,
                    20_000,
                    "the last changes, " + at,
                    () -> g.told().stream()
                                    .filter(t -> t.token().startsWith("end"))
                                    .count()
                            == g.alive().size());
            until(
                    g,
                    2500,
                    "the last word to all, " + at,
                    () -> g.alive().stream().allMatch(n -> g.last().equals(n.core.decidedValue())));
            assertEquals(List.of(), g.faults(), at);
            long ends = g.told().stream()
                    .filter(t -> t.result().outcome() == ChangeResult.Outcome.DECIDED)
                    .count();
            assertTrue(
                    g.told().stream()
                            .filter(t -> t.token().startsWith("end"))
                            .allMatch(t -> t.result().outcome() == ChangeResult.Outcome.DECIDED),
                    at + g.told());
            decided += ends;
            moved += moves[0];
        }
        System.out.println(HISTORIES + " histories, decided " + decided + ", moves " + moved);
        assertTrue(decided > 10 * HISTORIES && moved > HISTORIES, decided + " decided, " + moved + " moves");
    }

    private static ChangeResult.Outcome told(VirtualAgreement g, String token) {
        return g.told().stream()
                .filter(t -> t.token().equals(token))
                .findFirst()
                .orElseThrow()
                .result()
                .outcome();
    }

    private static void decide(VirtualAgreement g, String by, String token) {
        g.node(by).append(token, 20_000);
        until(g, 21_000, token, () -> g.told().stream().anyMatch(t -> t.token().equals(token)));
        assertEquals(ChangeResult.Outcome.DECIDED, told(g, token));
    }

    /** Guards the operator's way on: nothing goes by itself, the founded life has what anybody still knew. */
    @Test
    void whereAMajorityRestartsAtOnceNothingIsDecidedUntilItIsBootstrapped() {
        for (int seed = 0; seed < 50; seed++) {
            VirtualAgreement g = group(5, seed);
            decide(g, "n4", "a");
            until(g, 20, "the word", () -> g.node("n3").core.decidedValue() != null);
            long epoch = g.last().epoch();
            List<ChangeResult> refused = new ArrayList<>();
            g.node("n0").found(THREE, 3000, refused::add);
            until(g, 4000, "refused", () -> !refused.isEmpty());
            assertEquals(ChangeResult.Outcome.REJECTED, refused.get(0).outcome(), "a majority is sighted");
            boolean all = seed % 2 == 0; // then those who are no electors know it
            for (String n : all ? THREE : THREE.subList(0, 2)) {
                g.kill(n);
            }
            for (String n : all ? THREE : THREE.subList(0, 2)) {
                g.start(n);
            }
            g.node("n3").append("b", 3000);
            g.run(5000);
            assertEquals(ChangeResult.Outcome.NO_MAJORITY, told(g, "b"), "seed " + seed);
            assertTrue(g.node("n0").core.recovering() && g.events("consensus.value_lost") > 0, "seed " + seed);
            List<ChangeResult> founded = new ArrayList<>();
            g.loss = 0.1;
            g.node("n" + (seed % 5)).found(THREE, 10_000, founded::add);
            until(g, 11_000, "founded", () -> !founded.isEmpty());
            assertEquals(ChangeResult.Outcome.DECIDED, founded.get(0).outcome(), "seed " + seed);
            assertTrue(founded.get(0).value().epoch() > epoch
                    && founded.get(0).value().text().contains("a"));
            g.loss = 0;
            until(g, 5000, "sight", () -> sighted(g));
            decide(g, "n3", "c");
            assertEquals(List.of(), g.faults(), "seed " + seed);
        }
    }

    /** Even where restarts spare nobody and lives are founded again and again: no version has two values. */
    @Test
    void whateverRestartsAndIsBootstrappedAVersionHasOneValueAndChangesGoOn() {
        for (int seed = FIRST; seed < FIRST + HISTORIES; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            VirtualAgreement g = group(5, seed);
            for (int step = 0; step < 40; step++) {
                String one = "n" + random.nextInt(5);
                if (random.nextInt(6) == 0 && g.node(one) != null) {
                    g.kill(one);
                    g.start(one);
                } else {
                    trouble(g, random, 5, false);
                }
                Node n = g.node("n" + random.nextInt(5));
                n.append("t" + step, 500 + random.nextInt(2500));
                if (random.nextInt(8) == 0) {
                    n.found(THREE, 2000, r -> {});
                }
                g.run(random.nextInt(400));
            }
            g.heal();
            g.run(4000);
            List<ChangeResult> founded = new ArrayList<>();
            g.node("n1").found(THREE, 10_000, founded::add);
            until(g, 30_000, "founded or not needed", () -> !founded.isEmpty());
            assertTrue(founded.get(0).outcome() != ChangeResult.Outcome.NO_MAJORITY, "seed " + seed);
            decide(g, "n4", "end");
            assertEquals(List.of(), g.faults(), "seed " + seed);
        }
    }

    @Test
    void electorsGoFromThreeToFiveAndBackWhileLinksFailAndOneWhoIsAwayIsNotLetIn() {
        for (int seed = 0; seed < 40; seed++) {
            VirtualAgreement g = group(6, seed);
            SplittableRandom random = new SplittableRandom(seed);
            until(g, 10_000, "sight", () -> sighted(g));
            List<String> ends = new ArrayList<>();
            for (String to : List.of("n0 n1 n2 n3", "n0 n1 n2 n3 n4", "n1 n2 n3 n4", "n2 n3 n4")) {
                List<String> next = List.of(to.split(" "));
                g.node("n" + random.nextInt(6))
                        .electors(
                                next,
                                60_000,
                                r -> ends.add(r.outcome() + "" + r.value().electors()));
                for (int i = 0, before = ends.size(); ends.size() == before; i++) {
                    trouble(g, random, 6, false);
                    g.node("n" + random.nextInt(6)).append("t" + next.size() + next.get(0) + i, 4000);
                    g.run(random.nextInt(200));
                }
                assertEquals("DECIDED" + next, ends.get(ends.size() - 1), "seed " + seed);
            }
            g.heal();
            g.kill("n0"); // who decide no more are not missed
            g.kill("n1");
            decide(g, "n5", "end");
            g.node("n3")
                    .electors(
                            List.of("n2", "n3", "n4", "n0"),
                            3000,
                            r -> ends.add(r.outcome().name()));
            decide(g, "n5", "still");
            until(g, 5000, "the last move", () -> ends.size() == 5);
            assertEquals("NO_MAJORITY", ends.get(4), "one who is away is not let in");
            assertEquals(List.of("n2", "n3", "n4"), g.last().electors());
            assertEquals(List.of(), g.faults(), "seed " + seed);
        }
    }

    /** Each one's words come just between another's two: without a rest by chance none is ever served. */
    @Test
    void proposersWhoMeetAtEveryTryAreServedAllTheSame() {
        for (int proposers = 2; proposers <= 6; proposers++) {
            VirtualAgreement g = group(3 + proposers, proposers);
            until(g, 10_000, "sight", () -> sighted(g));
            decide(g, "n0", "first");
            g.delayMs = 1;
            g.valueMs = 10;
            for (int i = 0; i < proposers; i++) {
                g.node("n" + (3 + i)).append("t" + i, 60_000);
                g.run(5);
            }
            int all = proposers + 1;
            until(g, 20_000, proposers + " proposers", () -> g.told().size() == all);
            assertEquals(List.of(), g.faults());
        }
    }

    /** Words in any order, old ones kept for long, with restarts and moves anywhere: the histories' worst. */
    @Test
    void inNoOrderOfMessagesHasAVersionTwoValues() {
        int decided = 0;
        for (int seed = FIRST; seed < FIRST + 8 * HISTORIES; seed++) {
            RandomInterleavings order = new RandomInterleavings(3 + seed % 3, 1 + seed % 4, 12, 8, seed % 6 > 2);
            decided += order.walk(seed, 150);
            assertEquals(null, order.fault(), "seed " + seed);
        }
        System.out.println(decided + " decided");
        assertTrue(decided > 8 * HISTORIES, decided + " decided");
    }

    /** Restarts, tries given up, the states met at most; by hand as many as there is time for. */
    @Test
    void inEveryOrderOfTheMessagesOfTwoChangesAVersionHasOneValue() {
        int[][] table = {{0, 0, 10_000}, {1, 0, 2000}, {1, 1, Integer.getInteger("states", 2000)}};
        for (int[] row : table) {
            ExhaustiveInterleavings all = new ExhaustiveInterleavings();
            assertEquals(null, all.search(row[0], row[1], 100, row[2]));
            System.out.println(row[0] + " restarts, " + row[1] + " tries given up: every order to depth " + all.depth()
                    + ", " + all.states() + " states");
            assertTrue(all.states() >= row[2] || all.depth() == 15, all.states() + " states");
        }
    }

    @Test
    void whatIsTooLongIsRefusedAndTheLongestFitsIntoAPacket() {
        VirtualAgreement g = group(3, 1);
        List<ChangeResult> results = new ArrayList<>();
        String most = "\u00e9".repeat(ConsensusNode.MAX_TEXT_BYTES / 2);
        g.node("n0").change("", v -> most + 'x', 5000, results::add);
        g.node("n0").change("", v -> most, 5000, results::add);
        until(g, 6000, "both", () -> results.size() == 2);
        assertTrue(
                results.get(0).error() instanceof ValueTooLargeException,
                results.get(0).toString());
        assertEquals(most, g.node("n0").core.decidedValue().text());
        List<RegisterState.AppliedChange> done = new ArrayList<>();
        java.util.Map<String, Long> runs = new java.util.TreeMap<>();
        for (int i = 0; i < 200; i++) {
            runs.put("dispatcher-" + i, 1L);
            if (i < RegisterState.MAX_APPLIED_CHANGES) {
                done.add(new RegisterState.AppliedChange("dispatcher-" + i, 1, 2, 3));
            }
        }
        ConsensusMessage w = new ConsensusMessage(
                ConsensusMessage.Kind.ACCEPT,
                "dispatcher-1",
                1,
                runs,
                Ballot.NONE,
                Ballot.NONE,
                false,
                false,
                0,
                THREE,
                java.util.Map.of("n0", 4L),
                new RegisterState.AcceptedState(Ballot.NONE, new RegisterState(g.last(), THREE, done)));
        byte[] bytes = MessageFormat.encode(w, null, List.of());
        assertTrue(bytes.length <= 60 * 1024, bytes.length + " bytes");
        assertEquals(w, MessageFormat.decode(bytes).orElseThrow().message());
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 5000; i++) { // whatever comes, reading ends
            byte[] broken = java.util.Arrays.copyOf(bytes, random.nextInt(6000));
            for (int n = random.nextInt(4); n > 0 && broken.length > 0; n--) {
                broken[random.nextInt(broken.length)] ^= (byte) (1 + random.nextInt(255));
            }
            assertEquals(Optional.empty(), MessageFormat.decode(broken));
        }
    }
}
