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

/** Seeded random histories on a virtual network; a failing assertion names its seed. */
class ConsensusNodeTest {
    private static final int HISTORIES = Integer.getInteger("histories", 120);
    private static final int FIRST_SEED = Integer.getInteger("first", 0);
    private static final List<String> THREE = List.of("n0", "n1", "n2");

    private static VirtualAgreement group(int size, long seed) {
        VirtualAgreement network = new VirtualAgreement(THREE, seed);
        for (int i = 0; i < size; i++) {
            network.start("n" + i);
        }
        return network;
    }

    private static void until(VirtualAgreement network, long timeoutMs, String what, BooleanSupplier condition) {
        long end = network.now() + timeoutMs;
        while (!condition.getAsBoolean()) {
            assertTrue(network.now() < end, what + " not within " + timeoutMs + " ms");
            network.run(10);
        }
    }

    private static boolean allRecovered(VirtualAgreement network) {
        return network.alive().stream().noneMatch(n -> n.core.recovering());
    }

    /** Injects one random fault: link failure, process pause, kill that leaves a majority running, or start. */
    private static void injectFault(VirtualAgreement network, SplittableRandom random, int size, boolean kills) {
        String one = "n" + random.nextInt(size), two = "n" + random.nextInt(size);
        switch (random.nextInt(10)) {
            case 0, 1 -> {
                if (network.node(one) == null) {
                    network.start(one);
                } else if (kills && network.spared(one)) {
                    network.kill(one);
                    if (random.nextBoolean()) {
                        network.start(one);
                    }
                }
            }
            case 2 -> network.stall(one, random.nextInt(1500));
            case 3 -> network.cut(one, two);
            case 4 -> network.split(new java.util.TreeSet<>(List.of(one, two)));
            case 5, 6 -> network.heal();
            case 7 -> network.loss = random.nextInt(4) * 0.1;
            case 8 -> network.twice = random.nextInt(3) * 0.3;
            default -> network.delayMs = 1 + random.nextInt(random.nextBoolean() ? 30 : 400);
        }
    }

    /** Runs changes, reads, rejections and elector replacements under faults; changes complete once the faults end. */
    @Test
    void decidedValuesFormOneSequenceUnderFaultsAndChangesCompleteAfterwards() {
        int decided = 0, moved = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int size = 4 + random.nextInt(3);
            VirtualAgreement network = group(size, seed);
            int[] moves = {0};
            for (int step = 0; step < 40; step++) {
                injectFault(network, random, size, true);
                for (int i = random.nextInt(4); i > 0; i--) {
                    Node n = network.node("n" + random.nextInt(size));
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
                network.run(random.nextInt(300));
            }
            network.heal();
            for (int i = 0; i < size; i++) {
                if (network.node("n" + i) == null) {
                    network.start("n" + i);
                }
            }
            String at = "seed " + seed;
            until(network, 10_000, "recovery of all, " + at, () -> allRecovered(network));
            network.alive().forEach(n -> n.append("end" + n.name, 20_000));
            until(
                    network,
                    20_000,
                    "the last changes, " + at,
                    () -> network.told().stream()
                                    .filter(t -> t.token().startsWith("end"))
                                    .count()
                            == network.alive().size());
            until(
                    network,
                    2500,
                    "the last decision at all members, " + at,
                    () -> network.alive().stream().allMatch(n -> network.last().equals(n.core.decidedValue())));
            assertEquals(List.of(), network.faults(), at);
            long ends = network.told().stream()
                    .filter(t -> t.result().outcome() == ChangeResult.Outcome.DECIDED)
                    .count();
            assertTrue(
                    network.told().stream()
                            .filter(t -> t.token().startsWith("end"))
                            .allMatch(t -> t.result().outcome() == ChangeResult.Outcome.DECIDED),
                    at + network.told());
            decided += ends;
            moved += moves[0];
        }
        System.out.println(HISTORIES + " histories, decided " + decided + ", moves " + moved);
        assertTrue(decided > 10 * HISTORIES && moved > HISTORIES, decided + " decided, " + moved + " moves");
    }

    private static ChangeResult.Outcome outcomeOf(VirtualAgreement network, String token) {
        return network.told().stream()
                .filter(t -> t.token().equals(token))
                .findFirst()
                .orElseThrow()
                .result()
                .outcome();
    }

    private static void decide(VirtualAgreement network, String by, String token) {
        network.node(by).append(token, 20_000);
        until(
                network,
                21_000,
                token,
                () -> network.told().stream().anyMatch(t -> t.token().equals(token)));
        assertEquals(ChangeResult.Outcome.DECIDED, outcomeOf(network, token));
    }

    /**
     * After the simultaneous restart of a majority, nothing is decided until an operator bootstraps. The new epoch then
     * contains the value that the remaining members knew.
     */
    @Test
    void afterAMajorityRestartsAtOnceNothingIsDecidedUntilABootstrap() {
        for (int seed = 0; seed < 50; seed++) {
            VirtualAgreement network = group(5, seed);
            decide(network, "n4", "a");
            until(network, 20, "the decision", () -> network.node("n3").core.decidedValue() != null);
            long epoch = network.last().epoch();
            List<ChangeResult> rejections = new ArrayList<>();
            network.node("n0").found(THREE, 3000, rejections::add);
            until(network, 4000, "the rejection", () -> !rejections.isEmpty());
            assertEquals(ChangeResult.Outcome.REJECTED, rejections.get(0).outcome(), "a majority has recovered");
            boolean all = seed % 2 == 0; // then only members that are not electors know the value
            for (String n : all ? THREE : THREE.subList(0, 2)) {
                network.kill(n);
            }
            for (String n : all ? THREE : THREE.subList(0, 2)) {
                network.start(n);
            }
            network.node("n3").append("b", 3000);
            network.run(5000);
            assertEquals(ChangeResult.Outcome.NO_MAJORITY, outcomeOf(network, "b"), "seed " + seed);
            assertTrue(
                    network.node("n0").core.recovering() && network.events("consensus.value_lost") > 0, "seed " + seed);
            List<ChangeResult> bootstraps = new ArrayList<>();
            network.loss = 0.1;
            network.node("n" + (seed % 5)).found(THREE, 10_000, bootstraps::add);
            until(network, 11_000, "the bootstrap", () -> !bootstraps.isEmpty());
            assertEquals(ChangeResult.Outcome.DECIDED, bootstraps.get(0).outcome(), "seed " + seed);
            assertTrue(bootstraps.get(0).value().epoch() > epoch
                    && bootstraps.get(0).value().text().contains("a"));
            network.loss = 0;
            until(network, 5000, "recovery", () -> allRecovered(network));
            decide(network, "n3", "c");
            assertEquals(List.of(), network.faults(), "seed " + seed);
        }
    }

    /** Restarts of any member and repeated bootstraps never lead to two values of one version. */
    @Test
    void aVersionHasOneValueAndChangesContinueAfterAnyRestartsAndBootstraps() {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            VirtualAgreement network = group(5, seed);
            for (int step = 0; step < 40; step++) {
                String one = "n" + random.nextInt(5);
                if (random.nextInt(6) == 0 && network.node(one) != null) {
                    network.kill(one);
                    network.start(one);
                } else {
                    injectFault(network, random, 5, false);
                }
                Node n = network.node("n" + random.nextInt(5));
                n.append("t" + step, 500 + random.nextInt(2500));
                if (random.nextInt(8) == 0) {
                    n.found(THREE, 2000, r -> {});
                }
                network.run(random.nextInt(400));
            }
            network.heal();
            network.run(4000);
            List<ChangeResult> bootstraps = new ArrayList<>();
            network.node("n1").found(THREE, 10_000, bootstraps::add);
            until(network, 30_000, "bootstrapped or not needed", () -> !bootstraps.isEmpty());
            assertTrue(bootstraps.get(0).outcome() != ChangeResult.Outcome.NO_MAJORITY, "seed " + seed);
            decide(network, "n4", "end");
            assertEquals(List.of(), network.faults(), "seed " + seed);
        }
    }

    @Test
    void electorsAreReplacedWhileLinksFailAndAnAbsentMemberIsNotAdded() {
        for (int seed = 0; seed < 40; seed++) {
            VirtualAgreement network = group(6, seed);
            SplittableRandom random = new SplittableRandom(seed);
            until(network, 10_000, "recovery", () -> allRecovered(network));
            List<String> ends = new ArrayList<>();
            for (String to : List.of("n0 n1 n2 n3", "n0 n1 n2 n3 n4", "n1 n2 n3 n4", "n2 n3 n4")) {
                List<String> next = List.of(to.split(" "));
                network.node("n" + random.nextInt(6))
                        .electors(
                                next,
                                60_000,
                                r -> ends.add(r.outcome() + "" + r.value().electors()));
                for (int i = 0, before = ends.size(); ends.size() == before; i++) {
                    injectFault(network, random, 6, false);
                    network.node("n" + random.nextInt(6)).append("t" + next.size() + next.get(0) + i, 4000);
                    network.run(random.nextInt(200));
                }
                assertEquals("DECIDED" + next, ends.get(ends.size() - 1), "seed " + seed);
            }
            network.heal();
            network.kill("n0"); // former electors are not needed for a majority
            network.kill("n1");
            decide(network, "n5", "end");
            network.node("n3")
                    .electors(
                            List.of("n2", "n3", "n4", "n0"),
                            3000,
                            r -> ends.add(r.outcome().name()));
            decide(network, "n5", "still");
            until(network, 5000, "the last replacement", () -> ends.size() == 5);
            assertEquals("NO_MAJORITY", ends.get(4), "an absent member is not added");
            assertEquals(List.of("n2", "n3", "n4"), network.last().electors());
            assertEquals(List.of(), network.faults(), "seed " + seed);
        }
    }

    /** The proposers' messages interleave, each invalidating another's round; random backoff ends the livelock. */
    @Test
    void competingProposersAllCompleteTheirChanges() {
        for (int proposers = 2; proposers <= 6; proposers++) {
            VirtualAgreement network = group(3 + proposers, proposers);
            until(network, 10_000, "recovery", () -> allRecovered(network));
            decide(network, "n0", "first");
            network.delayMs = 1;
            network.valueMs = 10;
            for (int i = 0; i < proposers; i++) {
                network.node("n" + (3 + i)).append("t" + i, 60_000);
                network.run(5);
            }
            int all = proposers + 1;
            until(
                    network,
                    20_000,
                    proposers + " proposers",
                    () -> network.told().size() == all);
            assertEquals(List.of(), network.faults());
        }
    }

    /** Messages in random order, some delayed for long, with restarts and elector replacements at any point. */
    @Test
    void aVersionHasOneValueInRandomMessageOrders() {
        int decided = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + 8 * HISTORIES; seed++) {
            RandomInterleavings order = new RandomInterleavings(3 + seed % 3, 1 + seed % 4, 12, 8, seed % 6 > 2);
            decided += order.walk(seed, 150);
            assertEquals(null, order.fault(), "seed " + seed);
        }
        System.out.println(decided + " decided");
        assertTrue(decided > 8 * HISTORIES, decided + " decided");
    }

    /**
     * Each row holds the number of restarts, of abandoned rounds, and the maximum number of states searched. The system
     * property {@code states} sets the limit of the last row, for longer manual runs.
     */
    @Test
    void aVersionHasOneValueInEveryMessageOrderOfTwoChanges() {
        int[][] limits = {{0, 0, 10_000}, {1, 0, 2000}, {1, 1, Integer.getInteger("states", 2000)}};
        for (int[] row : limits) {
            ExhaustiveInterleavings all = new ExhaustiveInterleavings();
            assertEquals(null, all.search(row[0], row[1], 100, row[2]));
            System.out.println(row[0] + " restarts, " + row[1] + " abandoned rounds: every order to depth "
                    + all.depth() + ", " + all.states() + " states");
            assertTrue(all.states() >= row[2] || all.depth() == 15, all.states() + " states");
        }
    }

    @Test
    void aTooLongTextIsRejectedAndTheLongestFitsIntoAPacket() {
        VirtualAgreement network = group(3, 1);
        List<ChangeResult> results = new ArrayList<>();
        String longest = "\u00e9".repeat(ConsensusNode.MAX_TEXT_BYTES / 2);
        network.node("n0").change("", v -> longest + 'x', 5000, results::add);
        network.node("n0").change("", v -> longest, 5000, results::add);
        until(network, 6000, "both", () -> results.size() == 2);
        assertTrue(
                results.get(0).error() instanceof ValueTooLargeException,
                results.get(0).toString());
        assertEquals(longest, network.node("n0").core.decidedValue().text());
        List<RegisterState.AppliedChange> applied = new ArrayList<>();
        java.util.Map<String, Long> crashVector = new java.util.TreeMap<>();
        for (int i = 0; i < 200; i++) {
            crashVector.put("dispatcher-" + i, 1L);
            if (i < RegisterState.MAX_APPLIED_CHANGES) {
                applied.add(new RegisterState.AppliedChange("dispatcher-" + i, 1, 2, 3));
            }
        }
        ConsensusMessage message = new ConsensusMessage(
                ConsensusMessage.Kind.ACCEPT,
                "dispatcher-1",
                1,
                crashVector,
                Ballot.NONE,
                Ballot.NONE,
                false,
                false,
                0,
                THREE,
                java.util.Map.of("n0", 4L),
                new RegisterState.AcceptedState(Ballot.NONE, new RegisterState(network.last(), THREE, applied)));
        byte[] bytes = MessageFormat.encode(message, null, List.of());
        assertTrue(bytes.length <= 60 * 1024, bytes.length + " bytes");
        assertEquals(message, MessageFormat.decode(bytes).orElseThrow().message());
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 5000; i++) { // corrupt bytes are rejected
            byte[] corrupt = java.util.Arrays.copyOf(bytes, random.nextInt(6000));
            for (int n = random.nextInt(4); n > 0 && corrupt.length > 0; n--) {
                corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 + random.nextInt(255));
            }
            assertEquals(Optional.empty(), MessageFormat.decode(corrupt));
        }
    }
}
