package maplespread.address;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import maplespread.address.ClaimClient.Verdict;
import org.junit.jupiter.api.Test;

/** Claims over a network that loses, repeats, delays and cuts, among instances that restart with nothing. */
class ClaimClientTest {
    private static final long KEEP_MS = 3000;

    private record Packet(long at, long order, String to, ClaimMessage word) implements Comparable<Packet> {
        @Override
        public int compareTo(Packet o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    /** All instances are electors and claimants. */
    private static final class World {
        final SplittableRandom random;
        final int size;
        final List<String> names = new ArrayList<>();
        final ClaimTable[] tables;
        final ClaimClient[] claims;
        final PriorityQueue<Packet> packets = new PriorityQueue<>();
        final Map<String, List<Long>> runs = new HashMap<>(); // by id: when a worker has run it
        final Map<String, Verdict> last = new HashMap<>();
        final boolean[] down;
        double loss;
        int delayMs = 3;
        long now = 1;
        long order;

        World(int size, long seed) {
            random = new SplittableRandom(seed);
            this.size = size;
            tables = new ClaimTable[size];
            claims = new ClaimClient[size];
            down = new boolean[size];
            for (int i = 0; i < size; i++) {
                names.add("n" + i);
            }
            for (int i = 0; i < size; i++) {
                begin(i);
            }
            run(KEEP_MS + 10); // a first start of all is blind as long
        }

        void begin(int i) {
            down[i] = false;
            ClaimSettings set = new ClaimSettings(names.get(i), names, KEEP_MS, 60, 1000);
            tables[i] = new ClaimTable(set, now, now, this::post);
            claims[i] = new ClaimClient(set, now, new ClaimClient.Transport() {
                @Override
                public void send(String to, ClaimMessage word) {
                    post(to, word);
                }

                @Override
                public void decided(String id, Verdict verdict) {
                    last.put(id, verdict);
                    if (verdict instanceof Verdict.Granted) {
                        runs.computeIfAbsent(id, k -> new ArrayList<>()).add(now);
                        if (random.nextInt(3) > 0) { // else it dies, or forgets, before that
                            claims[i].record(id, "done by n" + i);
                        }
                    }
                }
            });
        }

        void post(String to, ClaimMessage word) {
            for (int copies = random.nextInt(5) == 0 ? 2 : 1; copies > 0; copies--) {
                if (random.nextDouble() >= loss) {
                    packets.add(new Packet(now + 1 + random.nextInt(delayMs), ++order, to, word));
                }
            }
        }

        void run(long ms) {
            for (long end = now + ms; now < end; now++) {
                while (!packets.isEmpty() && packets.peek().at() <= now) {
                    Packet p = packets.remove();
                    int to = Integer.parseInt(p.to().substring(1));
                    if (!down[to]) {
                        tables[to].received(now, p.word());
                        claims[to].received(now, p.word());
                    }
                }
                for (int i = 0; i < size; i++) {
                    if (!down[i]) {
                        tables[i].tick(now);
                        claims[i].tick(now);
                    }
                }
            }
        }
    }

    /** Clients take one id from instance to instance; whatever breaks, no id runs twice within its time. */
    @Test
    void noOrderRunsTwice() {
        IntStream.range(0, Integer.getInteger("histories", 8_000)).parallel().forEach(seed -> {
            World w = new World(seed % 2 == 0 ? 3 : 5, seed);
            w.loss = w.random.nextInt(4) * 0.1;
            w.delayMs = 1 + w.random.nextInt(3) * w.random.nextInt(80);
            for (int step = 0; step < 25; step++) {
                int one = w.random.nextInt(w.size);
                switch (w.random.nextInt(8)) {
                    case 0 -> w.down[one] = true;
                    case 1 -> w.begin(one); // another run, that knows nothing
                    default -> {
                        if (!w.down[one]) {
                            w.claims[one].claim(w.now, "order-" + w.random.nextInt(3), 1);
                        }
                    }
                }
                w.run(w.random.nextInt(90));
            }
            w.runs.forEach((id, at) -> {
                for (int i = 1; i < at.size(); i++) {
                    assertTrue(at.get(i) - at.get(i - 1) > KEEP_MS - 200, "seed " + seed + ": " + id + " ran at " + at);
                }
            });
        });
    }

    @Test
    void whoeverMeetsTheIdLaterAnswersWithItsOutcomeOrSaysThatItIsInDoubt() {
        for (int seed = 0; seed < 50; seed++) {
            World w = new World(3, seed);
            w.claims[0].claim(w.now, "a", 1);
            w.run(50);
            assertEquals(1, w.runs.get("a").size());
            boolean recorded = w.tables[1].size() == 1 && w.last.get("a") instanceof Verdict.Granted;
            assertTrue(recorded);
            w.claims[1].claim(w.now, "a", 2);
            w.run(100);
            Verdict v = w.last.get("a");
            assertTrue(v instanceof Verdict.Known || v instanceof Verdict.InDoubt, v.toString());
            assertEquals(1, w.runs.get("a").size());
        }
    }

    /** The vote of a run that is over, and one given after its successor has read all others. */
    @Test
    void aVoteForgottenInARestartDoesNotCompleteTwoMajorities() {
        World w = new World(3, 5);
        w.loss = 0;
        w.delayMs = 1;
        ClaimSettings set = new ClaimSettings("x", w.names, KEEP_MS, 60, 1000);
        List<Verdict> verdicts = new ArrayList<>();
        ClaimClient slow = new ClaimClient(set, 77, new ClaimClient.Transport() {
            @Override
            public void send(String to, ClaimMessage word) {}

            @Override
            public void decided(String id, Verdict verdict) {
                verdicts.add(verdict);
            }
        });
        slow.claim(w.now, "a", 1);
        ClaimMessage yes = ClaimMessage.of(ClaimMessage.Kind.GRANTED, "n1", 1, "a", 1, 77, null);
        slow.received(w.now, yes); // then n1 restarts and reads n0 and n2
        w.begin(1);
        w.run(59);
        assertTrue(w.tables[1].recovering(), "others may yet vote for what it has forgotten");
        w.run(200);
        assertTrue(!w.tables[1].recovering());
        slow.received(w.now, ClaimMessage.of(ClaimMessage.Kind.GRANTED, "n0", 1, "a", 1, 77, null));
        assertEquals(1, verdicts.size());
        assertInstanceOf(Verdict.Unavailable.class, verdicts.get(0));
    }

    /** Attempts are counted anew in each run, so an answer to the run before may have the same number. */
    @Test
    void anAnswerToTheRunBeforeCountsForNothing() {
        List<Verdict> verdicts = new ArrayList<>();
        ClaimClient next = new ClaimClient(
                new ClaimSettings("x", List.of("n0", "n1", "n2"), 1000, 60, 9), 2, new ClaimClient.Transport() {
                    @Override
                    public void send(String to, ClaimMessage word) {}

                    @Override
                    public void decided(String id, Verdict verdict) {
                        verdicts.add(verdict);
                    }
                });
        next.claim(0, "a", 1);
        for (long boot : new long[] {1, 2}) {
            assertEquals(0, verdicts.size(), "granted by answers to another run");
            for (String from : List.of("n0", "n1")) {
                next.received(1, ClaimMessage.of(ClaimMessage.Kind.GRANTED, from, 1, "a", 1, boot, null));
            }
        }
        assertInstanceOf(Verdict.Granted.class, verdicts.get(0));
    }

    /** A part that came twice may not stand for one that was lost. */
    @Test
    void aSourceCountsAsReadWhenEachOfItsPartsHasCome() {
        ClaimSettings set = new ClaimSettings("n0", List.of("n0", "n1", "n2"), 1000, 10, 100);
        ClaimTable t = new ClaimTable(set, 1, 0, (to, word) -> {});
        for (String source : List.of("n1", "n2")) {
            for (int part : new int[] {0, 2, 2}) {
                t.received(
                        50,
                        new ClaimMessage(
                                ClaimMessage.Kind.SYNC_RESPONSE,
                                source,
                                1,
                                "" + part,
                                1,
                                3,
                                null,
                                List.of(),
                                part == 2));
            }
        }
        assertTrue(t.recovering());
        for (String source : List.of("n1", "n2")) {
            t.received(
                    60,
                    new ClaimMessage(ClaimMessage.Kind.SYNC_RESPONSE, source, 1, "1", 1, 3, null, List.of(), false));
        }
        assertTrue(!t.recovering());
    }

    @Test
    void withoutAMajorityNothingRunsAndTheIdIsFreeAgain() {
        World w = new World(3, 1);
        w.down[1] = true;
        w.down[2] = true;
        w.claims[0].claim(w.now, "a", 1);
        w.run(100);
        assertInstanceOf(Verdict.Unavailable.class, w.last.get("a"));
        assertEquals(0, w.tables[0].size(), "given back");
        w.begin(1);
        w.begin(2);
        w.run(KEEP_MS + 10);
        w.claims[0].claim(w.now, "a", 1);
        w.run(50);
        assertEquals(1, w.runs.get("a").size());
    }

    @Test
    void aFullTableRefusesAndForgetsNobody() {
        ClaimSettings set = new ClaimSettings("n0", List.of("n0"), 1000, 10, 2);
        List<ClaimMessage.Kind> said = new ArrayList<>();
        ClaimTable t = new ClaimTable(set, 1, 0, (to, word) -> said.add(word.kind()));
        for (int i = 0; i < 3; i++) {
            t.received(1001, ClaimMessage.of(ClaimMessage.Kind.CLAIM, "n0", 1, "id" + i, i, 1, null));
        }
        t.received(1001, ClaimMessage.of(ClaimMessage.Kind.CLAIM, "n1", 1, "id0", 9, 1, null));
        assertEquals(
                List.of(
                        ClaimMessage.Kind.GRANTED,
                        ClaimMessage.Kind.GRANTED,
                        ClaimMessage.Kind.RECOVERING,
                        ClaimMessage.Kind.HELD),
                said);
        t.received(2100, ClaimMessage.of(ClaimMessage.Kind.CLAIM, "n1", 1, "id2", 1, 1, null));
        assertEquals(1, t.size(), "what is over is let go");
        t.term(5);
        said.clear();
        t.received(2100, ClaimMessage.of(ClaimMessage.Kind.CLAIM, "n1", 1, "id3", 2, 4, null));
        assertEquals(List.of(ClaimMessage.Kind.RECOVERING), said, "an older lease's claim");
    }
}
