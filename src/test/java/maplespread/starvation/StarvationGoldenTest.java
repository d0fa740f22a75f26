package maplespread.starvation;

import com.google.gson.GsonBuilder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import maplespread.GoldenOutput;
import maplespread.policy.ReproducibleMath;
import maplespread.starvation.Verdict.Kind;
import maplespread.starvation.client.StarvationMonitor;
import org.junit.jupiter.api.Test;

/** What dispatchers send each other of waits, what operators are shown, and verdicts to the last digit. */
class StarvationGoldenTest {
    private final StringBuilder seen = new StringBuilder();

    private StringBuilder line(Object... parts) {
        for (Object part : parts) {
            seen.append(part).append(' ');
        }
        return seen.append('\n');
    }

    private static WaitWindow window() {
        WaitRecorder recorder = new WaitRecorder("n-1", 1_700_000_000_000L, 1000, new double[] {2000, 500});
        WaitRecorder.Completion[] ends = WaitRecorder.Completion.values();
        for (int i = 0; i < 60; i++) {
            recorder.requestAccepted(i, i, i % 5 * 300, i % 2, i % 7 * 11, i % 3 == 0 ? Double.NaN : 40 * i);
            if (i % 6 != 5) {
                recorder.requestCompleted(i * 31, i, i % 4 == 0 ? WaitRecorder.SAME_PLACE : i % 9, ends[i % 4]);
            }
        }
        recorder.requestCompleted(3000, 999, 0, WaitRecorder.Completion.SERVED); // never taken
        return recorder.closeWindow(2500);
    }

    @Test
    void bytesOfWindows() throws Exception {
        WaitWindow whole = window();
        for (int most : new int[] {Integer.MAX_VALUE, 120, 40}) {
            byte[] bytes = WindowCodec.encode(whole, most);
            WaitWindow back = WindowCodec.decode(bytes);
            line(HexFormat.of().formatHex(bytes));
            line(
                    back.process(),
                    back.incarnation(),
                    back.sequence(),
                    back.lengthMs(),
                    back.omitted(),
                    back.requestCount());
            line(Arrays.toString(back.codes()), Arrays.toString(back.counts()));
            line(Arrays.toString(back.ongoingCodes()), Arrays.toString(back.ongoingCounts()));
        }
        for (long[] of :
                new long[][] {{200_000, 1000, 0}, {200_000, 1000, 199}, {1000, 100, 1}, {100_000_000, 60_000, 2}}) {
            line(WindowCodec.bytesPerPeer(of[0], (int) of[1], (int) of[2]));
        }
        GoldenOutput.assertMatches("starvation/windows.txt", seen.toString());
    }

    @Test
    void codesAndBins() throws Exception {
        int[][] cells = {{0, 0, 0, 0}, {1, 2, 3, 4}, {65_535, 63, 65_535, 15}};
        for (int[] c : cells) {
            long cell = CellCode.cell(c[0], c[1], c[2], c[3]);
            line(cell, CellCode.of(cell, true, 77), CellCode.of(cell, false, 0), FleetWindow.stratum(cell));
        }
        line(
                CellCode.MAX_CODE,
                CellCode.BIN_LOWER_MS.length,
                Arrays.hashCode(CellCode.BIN_LOWER_MS),
                CellCode.binFor(1234.5),
                CellCode.binFor(9e9));
        for (double work : new double[] {Double.NaN, 0, 1, 3, 4, 15, 16, 1e3, 1e6, 1e12}) {
            line(work, CellCode.bandFor(work), CellCode.bandMiddleMs(CellCode.bandFor(work)));
        }
        GoldenOutput.assertMatches("starvation/codes.txt", seen.toString());
    }

    @Test
    void bytesThatAreNoWindow() throws Exception {
        String good = HexFormat.of().formatHex(WindowCodec.encode(window(), 60));
        String[] bad = {
            "",
            "02",
            "01ff01",
            "0105616263",
            good.substring(0, good.length() - 2),
            good + "00",
            "01016e" + "0000808080808080808080",
            "01016e0001e807000201010000",
            "01016e0001e8070001ff3f010000"
        };
        for (String hex : bad) {
            try {
                line("read", WindowCodec.decode(HexFormat.of().parseHex(hex)).sequence());
            } catch (MalformedWindowException e) {
                line(e.getMessage());
            }
        }
        GoldenOutput.assertMatches("starvation/no-windows.txt", seen.toString());
    }

    @Test
    void adminAnswer() throws Exception {
        Verdict.Statistics figures = new Verdict.Statistics(7, 2, 40, 3, 120.5, 30.25, 90.25, 0.045, 31, 1e-9, 0);
        Verdict starved = new Verdict(Kind.STARVED, 3, 1, 5, 1234, figures, 4, 5);
        Verdict unknown = new Verdict(Kind.NOT_KNOWN, -1, -1, -1, 99, Verdict.Statistics.NONE, 1, 5);
        StarvationMonitor.Report told = new StarvationMonitor.Report(
                List.of(
                        new StarvationMonitor.ScopedVerdict("fleet", starved),
                        new StarvationMonitor.ScopedVerdict("dispatcher", unknown)),
                List.of(new PriorityBoost.Weight(3, 1.3)));
        seen.append(new GsonBuilder()
                .setPrettyPrinting()
                .serializeSpecialFloatingPointValues()
                .create()
                .toJson(told));
        seen.append('\n');
        for (Kind kind : Kind.values()) {
            line(kind, kind.remedy());
        }
        FleetLayout site = new FleetLayout(new double[] {1}, new double[] {}, 1, 3);
        for (int part : new int[] {-1, 0, 7, site.allOfZone(7), site.allOfKind(7)}) {
            line(site.describe(part, z -> "z" + z, k -> "k" + k));
        }
        GoldenOutput.assertMatches("starvation/admin.txt", seen.toString());
    }

    // ------------------------------------------------------------ verdicts and weights

    private void verdict(String what, Verdict v) {
        Verdict.Statistics f = v.statistics();
        line(
                what,
                v.kind(),
                v.tenant(),
                v.requestClass(),
                v.place(),
                v.sinceMs(),
                v.reportingProcesses(),
                v.processes(),
                v.partial());
        line(f.requests(), f.censored(), f.others(), f.othersCensored(), f.ownMs(), f.othersMs(), f.excessWaitMs());
        line(f.effect(), f.elsewhereMs(), f.pValue(), f.overuse());
    }

    /** One dispatcher's second: fair but for what begins in its turn at 8, 16, 24 and 32 s. */
    private static void second(WaitRecorder recorder, SplittableRandom random, int second) {
        for (int job = 0; job < 150; job++) {
            int tenant = random.nextInt(second >= 16 && second < 24 && job % 2 == 0 ? 1 : 12);
            int cls = random.nextInt(2);
            int place = random.nextInt(4);
            double work = ReproducibleMath.exp(2 + 2 * random.nextDouble()) * (tenant == 7 && second >= 24 ? 40 : 1);
            double wait = -30 * ReproducibleMath.log(1 - random.nextDouble());
            boolean harmed = tenant == 3 && place == 1 && second >= 8 && second < 16;
            wait += harmed ? 700 : 0;
            wait += place == 2 && second >= 32 ? 900 : 0;
            WaitRecorder.Completion end = random.nextInt(50) == 0 || harmed && random.nextInt(3) == 0
                    ? WaitRecorder.Completion.REJECTED
                    : WaitRecorder.Completion.SERVED;
            long at = second * 1000L + random.nextInt(1000);
            long id = second * 1000L + job;
            recorder.requestAccepted(at, id, tenant, cls, place, random.nextInt(9) == 0 ? Double.NaN : work);
            if (random.nextInt(40) != 0) {
                recorder.requestCompleted(
                        at + Math.round(work + wait),
                        id,
                        random.nextInt(4) == 0 ? WaitRecorder.SAME_PLACE : place,
                        end);
            }
        }
    }

    @Test
    void verdictsOfARun() throws Exception {
        double[] allowances = new double[12];
        Arrays.fill(allowances, 30);
        FleetLayout site = new FleetLayout(new double[] {2000, 1500}, allowances, 4, 2);
        List<WaitRecorder> all = new ArrayList<>();
        IntStream.range(0, 4).forEach(i -> all.add(new WaitRecorder("n-" + i, 1, 1000, site.deadlinesMs())));
        StarvationDetector fleet = new StarvationDetector(site, 0.1);
        StarvationDetector alone = StarvationDetector.singleDispatcher(site, 0.1, fleet);
        StarvationDetector silent = StarvationDetector.singleDispatcher(site, 0.1, null);
        FleetWindow[] fleetWindows = {
            new FleetWindow(10_000, true), new FleetWindow(10_000, true), new FleetWindow(10_000, false)
        };
        StarvationDetector[] detectors = {fleet, alone, silent};
        PriorityBoost boost = new PriorityBoost(new PriorityBoost.Limits(2, 0.1, 1.5, true), 10);
        SplittableRandom random = new SplittableRandom(11);
        for (int second = 0; second < 56; second++) {
            long now = second * 1000L + 1000;
            for (int i = 0; i < 4; i++) {
                second(all.get(i), random, second);
                WaitWindow w = all.get(i).closeWindow(now);
                if (i > 0 && second >= 40) {
                    continue; // not heard any more
                }
                fleetWindows[0].add(now, w);
                if (i == 0) {
                    fleetWindows[1].add(now, w);
                    fleetWindows[2].add(now, w);
                }
            }
            for (int j = 0; j < detectors.length; j++) {
                fleetWindows[j].evictExpired(now);
                List<Verdict> changes = new ArrayList<>(detectors[j].evaluate(now, fleetWindows[j]));
                changes.sort((a, b) -> Integer.compare(order(a), order(b)));
                String at = second + "/" + j;
                changes.forEach(v -> verdict(at, v));
                line(
                        at,
                        detectors[j].varianceInflation(),
                        detectors[j].comparisonCount(),
                        detectors[j].enoughReported(),
                        detectors[j].activeVerdicts().size(),
                        fleetWindows[j].reportingProcesses(now),
                        fleetWindows[j].estimatedBytes());
            }
            boost.update(fleet.activeVerdicts(), fleet.enoughReported());
            line(boost.activeWeights().stream()
                    .map(w -> w.tenant() + "=" + w.weight())
                    .toList());
        }
        GoldenOutput.assertMatches("starvation/verdicts.txt", seen.toString());
    }

    private static int order(Verdict v) {
        return (v.tenant() * 100 + v.requestClass()) * 1000 + v.place();
    }

    @Test
    void weightsOfRandomVerdicts() throws Exception {
        for (boolean guarded : new boolean[] {true, false}) {
            SplittableRandom random = new SplittableRandom(5);
            PriorityBoost boost = new PriorityBoost(new PriorityBoost.Limits(2.5, 0.2, 2, guarded), 5);
            boolean[] starved = new boolean[6];
            for (int round = 0; round < 300; round++) {
                List<Verdict> standing = new ArrayList<>();
                for (int t = 0; t < starved.length; t++) {
                    starved[t] ^= random.nextInt(12) == 0;
                    Kind kind = random.nextInt(30) == 0 ? Kind.BEYOND_SHARE : Kind.STARVED;
                    if (starved[t]) {
                        standing.add(new Verdict(kind, t, 0, 0, 0, Verdict.Statistics.NONE, 1, 1));
                    }
                }
                for (PriorityBoost.Change c : boost.update(standing, random.nextInt(25) != 0)) {
                    line(round, c.kind(), c.tenant(), c.weight(), c.victim());
                }
            }
            line(boost.activeWeights().stream()
                    .map(w -> w.tenant() + "=" + w.weight())
                    .toList());
        }
        GoldenOutput.assertMatches("starvation/weights.txt", seen.toString());
    }
}
