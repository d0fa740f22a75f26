package maplespread.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.lab.scale.FleetPlan;
import maplespread.lab.scale.SimulatedFleet;
import maplespread.lab.scale.SimulatedFleet.Features;
import maplespread.lab.scale.SimulatedFleet.Sample;
import maplespread.lab.scale.Slope;
import maplespread.membership.client.ChannelTrafficMeter;

/**
 * What the control of one dispatcher costs against the number of dispatchers: bytes and packets at its socket
 * by channel and role, processor time by thread, heap, and how soon all know that one drains. Fleets of
 * hollow members; the largest is held out of the fit, which has to predict it.
 */
public final class ScaleMeasure {
    /** The fleet's size at which figures are held against the plan's limits. */
    private static final int PLAN_SIZE = 100;
    /** A fit is good where it predicts the size that was held out within this share. */
    private static final double PREDICTED_WITHIN = 0.2;
    /** Beyond this a run would not be of the fleet but of the machine. */
    private static final int LARGEST = 200;

    private static final List<String> ROLES = List.of("elector", "member");

    private static final Map<Integer, String> CHANNELS =
            Map.of(0, "membership", 1, "agreement", 2, "statuses", 3, "waits", 4, "leases", 128, "dropped");

    /** Sizes that are fitted, how often the largest is played, and the one that is held out. */
    private record Sizes(int[] fitted, int seeds, int heldOut) {}

    /** Parts that are measured together, as none talks on another's channel. */
    private record Stage(String name, Features features, Sizes sizes) {}

    /** One fleet's figures of one role: bytes and packets a second by channel, in and out. */
    private record Rates(Map<Integer, ChannelTrafficMeter.ChannelTraffic> perHour) {
        double bytesPerS(int channel) {
            ChannelTrafficMeter.ChannelTraffic line = perHour.get(channel);
            return line == null ? 0 : line.both().bytes() / 3600.0;
        }

        double packetsPerS(int channel) {
            ChannelTrafficMeter.ChannelTraffic line = perHour.get(channel);
            return line == null ? 0 : line.both().packets() / 3600.0;
        }

        double outShare(int channel) {
            ChannelTrafficMeter.ChannelTraffic line = perHour.get(channel);
            return line == null || line.both().bytes() == 0
                    ? 0
                    : (double) line.out().bytes() / line.both().bytes();
        }
    }

    /** What one fleet's run has shown. */
    private record Reading(int size, Map<String, Rates> byRole, Map<String, Double> corePercent, double heapKb) {}

    private final boolean quick;
    private final Report report;
    private final long settleMs;
    private final long windowMs;

    public ScaleMeasure(boolean quick, Report report) {
        this.quick = quick;
        this.report = report;
        settleMs = quick ? 1_500 : 5_000;
        windowMs = quick ? 3_000 : 8_000;
    }

    /** Plays all stages; fails at once where the machine cannot hold the largest fleet. */
    public void run() throws IOException, InterruptedException {
        Sizes sizes = quick ? new Sizes(new int[] {6, 12, 25}, 1, 40) : new Sizes(new int[] {6, 25, 50, 100}, 3, 200);
        for (Stage stage : stages(sizes)) {
            play(stage);
        }
    }

    private List<Stage> stages(Sizes sizes) {
        if (quick) {
            return List.of(new Stage("all", new Features(true, true, true), sizes));
        }
        return List.of(
                new Stage("group", new Features(true, false, true), sizes),
                new Stage("leases", new Features(false, true, false), sizes));
    }

    private void play(Stage stage) throws IOException, InterruptedException {
        List<Reading> readings = new ArrayList<>();
        Sizes sizes = stage.sizes;
        int largest = sizes.fitted[sizes.fitted.length - 1];
        for (int size : sizes.fitted) {
            for (int seed = 1; seed <= (size == largest ? sizes.seeds : 1); seed++) {
                Reading reading = read(stage, size, seed);
                if (reading != null) {
                    readings.add(reading);
                }
            }
        }
        Reading heldOut = read(stage, sizes.heldOut, 1);
        for (String role : ROLES) {
            for (int channel : CHANNELS.keySet().stream().sorted().toList()) {
                fit(stage, role, channel, readings, heldOut);
            }
        }
    }

    private Reading read(Stage stage, int size, long seed) throws IOException, InterruptedException {
        if (size > LARGEST) {
            throw new IllegalArgumentException("at most " + LARGEST + " members, not " + size);
        }
        long heapBefore = SimulatedFleet.liveHeap();
        try (SimulatedFleet fleet = new SimulatedFleet(size, FleetPlan.TWO_YEARS, stage.features, seed)) {
            fleet.awaitJoined();
            Thread.sleep(settleMs);
            Map<String, Long> processorBefore = SimulatedFleet.processorNanos();
            List<Sample> before = fleet.sample();
            long from = System.nanoTime();
            Thread.sleep(windowMs);
            List<Sample> after = fleet.sample();
            double seconds = (System.nanoTime() - from) / 1e9;
            Map<String, Double> core = corePercent(processorBefore, SimulatedFleet.processorNanos(), seconds * size);
            double heapKb = (SimulatedFleet.liveHeap() - heapBefore) / 1024.0 / size;
            long drainMs = fleet.drainKnownMs(size - 1);
            long decisionMs = stage.features.release() ? fleet.decisionKnownMs() : -1;
            Reading reading = new Reading(size, byRole(before, after, seconds), core, heapKb);
            show(stage, reading, seed, drainMs, decisionMs);
            return reading;
        } catch (IllegalStateException e) { // the machine or the fleet could not bear it: a result, too
            report.row(stage.name + " failed", "members", size, "seed", seed, "why", e.getMessage());
            return null;
        }
    }

    private static Map<String, Double> corePercent(
            Map<String, Long> before, Map<String, Long> after, double memberSeconds) {
        Map<String, Double> all = new TreeMap<>();
        after.forEach((thread, nanos) -> {
            double percent = (nanos - before.getOrDefault(thread, 0L)) / 1e7 / memberSeconds;
            if (percent >= 0.005) {
                all.put(thread, percent);
            }
        });
        all.keySet().removeAll(List.of("main", "scale jobs"));
        return all;
    }

    private static Map<String, Rates> byRole(List<Sample> before, List<Sample> after, double seconds) {
        Map<String, Rates> all = new TreeMap<>();
        for (String role : ROLES) {
            Map<Integer, ChannelTrafficMeter.ChannelTraffic> sum = new TreeMap<>();
            int count = 0;
            for (int i = 0; i < after.size(); i++) {
                if (after.get(i).elector() == role.equals("elector")) {
                    count++;
                    add(sum, before.get(i).channels(), after.get(i).channels());
                }
            }
            double perHour = 3600 / seconds / Math.max(1, count);
            sum.replaceAll((channel, line) ->
                    new ChannelTrafficMeter.ChannelTraffic(scaled(line.in(), perHour), scaled(line.out(), perHour)));
            if (count > 0) {
                all.put(role, new Rates(sum));
            }
        }
        return all;
    }

    private static void add(
            Map<Integer, ChannelTrafficMeter.ChannelTraffic> sum,
            Map<Integer, ChannelTrafficMeter.ChannelTraffic> before,
            Map<Integer, ChannelTrafficMeter.ChannelTraffic> after) {
        ChannelTrafficMeter.TrafficCount none = new ChannelTrafficMeter.TrafficCount(0, 0);
        after.forEach((channel, line) -> {
            ChannelTrafficMeter.ChannelTraffic was =
                    before.getOrDefault(channel, new ChannelTrafficMeter.ChannelTraffic(none, none));
            ChannelTrafficMeter.ChannelTraffic since = new ChannelTrafficMeter.ChannelTraffic(
                    line.in().since(was.in()), line.out().since(was.out()));
            sum.merge(
                    channel,
                    since,
                    (a, b) -> new ChannelTrafficMeter.ChannelTraffic(
                            a.in().plus(b.in()), a.out().plus(b.out())));
        });
    }

    private static ChannelTrafficMeter.TrafficCount scaled(ChannelTrafficMeter.TrafficCount count, double by) {
        return new ChannelTrafficMeter.TrafficCount(Math.round(count.packets() * by), Math.round(count.bytes() * by));
    }

    private void show(Stage stage, Reading reading, long seed, long drainMs, long decisionMs) {
        reading.byRole.forEach((role, rates) -> rates.perHour
                .keySet()
                .forEach(channel -> report.row(
                        stage.name + " " + CHANNELS.getOrDefault(channel, "channel " + channel) + ", " + role,
                        "members",
                        reading.size,
                        "seed",
                        seed,
                        "bytes/s",
                        rates.bytesPerS(channel),
                        "packets/s",
                        rates.packetsPerS(channel),
                        "sent share",
                        rates.outShare(channel))));
        List<Object> pairs = new ArrayList<>(List.of("members", reading.size, "seed", seed));
        pairs.addAll(List.of("heap KB a member", reading.heapKb, "drain known to all, ms", drainMs));
        if (decisionMs >= 0) {
            pairs.addAll(List.of("decision known to all, ms", decisionMs));
        }
        pairs.addAll(List.of(
                "core % a member",
                reading.corePercent.values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum()));
        reading.corePercent.forEach((thread, percent) -> pairs.addAll(List.of("thread " + thread, percent)));
        report.row(stage.name + " process", pairs.toArray());
    }

    private void fit(Stage stage, String role, int channel, List<Reading> readings, Reading heldOut) {
        List<Slope.Point> points = new ArrayList<>();
        for (Reading r : readings) {
            if (r.byRole.containsKey(role)) {
                points.add(new Slope.Point(r.size, r.byRole.get(role).bytesPerS(channel)));
            }
        }
        if (points.size() < 3 || points.stream().allMatch(p -> p.figure() == 0)) {
            return;
        }
        Slope slope = Slope.of(points);
        double measured =
                heldOut == null ? Double.NaN : heldOut.byRole.get(role).bytesPerS(channel);
        double predicted = slope.at(stage.sizes.heldOut);
        double miss = Math.abs(predicted - measured) / Math.max(1, measured);
        double planned = slope.at(PLAN_SIZE);
        String what = stage.name + " " + CHANNELS.get(channel) + ", " + role;
        report.row(
                "slope of " + what,
                "form",
                slope.form(),
                "intercept",
                slope.intercept(),
                "slope",
                slope.slope(),
                "+-",
                slope.interval(),
                "predicted at " + stage.sizes.heldOut,
                predicted,
                "measured",
                measured,
                "missed by",
                miss,
                "at " + PLAN_SIZE,
                planned,
                "over limit, times",
                planned / FleetPlan.BYTES_PER_S);
        if (!quick) {
            report.aim("prediction of " + what + " at " + stage.sizes.heldOut + ", share off", miss, PREDICTED_WITHIN);
            report.aim(what + ", bytes/s at " + PLAN_SIZE, planned, FleetPlan.BYTES_PER_S);
        }
    }
}
