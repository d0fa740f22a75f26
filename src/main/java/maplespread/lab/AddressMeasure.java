package maplespread.lab;

import java.util.List;
import java.util.SplittableRandom;
import maplespread.address.ElectionMessage;
import maplespread.address.ElectionSettings;
import maplespread.address.ElectionTransport;
import maplespread.address.LeaderElection;
import maplespread.lab.address.VirtualElection;
import maplespread.lab.membership.VirtualGroup;
import maplespread.membership.MembershipSettings;
import org.HdrHistogram.Histogram;

/**
 * The moving service address, as far as it is built: elections and membership on their virtual networks.
 * How long nobody owns the address is the electors' side of the matter; what a client sees comes with the
 * announcement.
 */
public final class AddressMeasure {
    private final boolean quick;
    private final Report report;

    public AddressMeasure(boolean quick, Report report) {
        this.quick = quick;
        this.report = report;
    }

    public void run() {
        for (String how : List.of("kill", "freeze", "full partition", "one-way partition", "planned")) {
            unowned(how);
        }
        traffic();
        falseDeaths();
        fence();
    }

    private void unowned(String how) {
        Histogram h = new Histogram(600_000, 3);
        int rounds = quick ? 200 : 5000;
        for (int seed = 0; seed < rounds; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            VirtualElection e = new VirtualElection(3, 0.01, seed);
            e.run(1500 + random.nextInt(400));
            while (e.owner() < 0) {
                e.run(10);
            }
            e.takeLongestUnowned();
            int owner = e.owner();
            switch (how) {
                case "kill" -> e.kill(owner);
                case "freeze" -> e.pause(owner, 3000);
                case "planned" -> e.giveUp(owner, (owner + 1) % 3);
                default -> {
                    for (int other = 0; other < 3; other++) {
                        e.cut(owner, other);
                        if (how.startsWith("full")) {
                            e.cut(other, owner);
                        }
                    }
                }
            }
            e.run(2500);
            h.recordValue(e.takeLongestUnowned());
            if (!e.fault().isEmpty()) {
                throw new IllegalStateException("seed " + seed + ": " + e.fault());
            }
        }
        report.row(
                "unowned after " + how + " (simulated)",
                "ms p50",
                h.getValueAtPercentile(50),
                "p99",
                h.getValueAtPercentile(99),
                "max",
                h.getMaxValue(),
                "rounds",
                rounds);
        if (how.equals("planned")) {
            report.aim("unowned at a planned hand-over, ms at worst", h.getMaxValue(), 10);
        } else {
            report.aim("unowned after " + how + ", ms at worst", h.getMaxValue(), 1000);
            report.aim("unowned after " + how + ", ms p50", h.getValueAtPercentile(50), 500);
        }
    }

    private static VirtualGroup group(int size, long seed) {
        VirtualGroup g = new VirtualGroup(n -> MembershipSettings.of(n, n, List.of("m0", "m1", "m2")), seed);
        for (int i = 0; i < size; i++) {
            g.start("m" + i);
        }
        g.run(8000);
        return g;
    }

    private void traffic() {
        double[] rates = new double[3];
        int[] sizes = {3, 20, 200};
        for (int i = 0; i < sizes.length; i++) {
            VirtualGroup g = group(sizes[i], 1);
            long before = g.sent();
            g.run(quick ? 5000 : 30_000);
            rates[i] = (g.sent() - before) / (quick ? 5.0 : 30.0) / sizes[i];
            report.row("messages a second and member, " + sizes[i] + " members", "sent", rates[i]);
        }
        report.aim("messages a second and member, 200 members against 20", rates[2] / rates[1], 1.2);
    }

    private void falseDeaths() {
        double hours = quick ? 0.1 : 1;
        VirtualGroup g = group(5, 2);
        g.loss = 0.1;
        SplittableRandom random = new SplittableRandom(3);
        int wrong = 0;
        for (long ms = 0; ms < hours * 3_600_000; ms += 10_000) {
            String paused = "m" + random.nextInt(5);
            int before = g.deaths().size();
            g.pause(paused, 2000);
            g.run(10_000);
            wrong += (int) g.deaths().subList(before, g.deaths().size()).stream()
                    .filter(d -> !d.whom().equals(paused))
                    .count();
        }
        report.row("10% loss, a pause of 2 s each 10 s", "others taken for dead an hour", wrong / hours);
        report.aim("members wrongly taken for dead in an hour", wrong / hours, 0);
    }

    private void fence() {
        ElectionSettings set = ElectionSettings.of("a", List.of("a"), List.of("a"));
        LeaderElection one = new LeaderElection(set, 1, 1, 0, new ElectionTransport() {
            @Override
            public void send(String to, ElectionMessage ballot) {}

            @Override
            public void acquired(long term) {}

            @Override
            public void lost(long term, String successor) {}

            @Override
            public void event(boolean warning, String name, Object... pairs) {}
        });
        long now = 0;
        while (!one.mayAct(now)) {
            one.tick(++now, 1);
        }
        long yes = 0;
        int rounds = 5_000_000;
        long start = 0;
        for (int i = 0; i < 2 * rounds; i++) {
            start = i == rounds ? System.nanoTime() : start;
            yes += one.mayAct(System.nanoTime() < 0 ? 0 : now) ? 1 : 0;
        }
        double nanos = (System.nanoTime() - start) / (double) rounds;
        report.row("the fence, with a look at the clock", "ns", nanos, "granted", yes);
        report.aim("the fence, ns", nanos, 1000);
    }
}
