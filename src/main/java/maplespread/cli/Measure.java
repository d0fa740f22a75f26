package maplespread.cli;

import java.util.concurrent.Callable;
import maplespread.lab.AddressMeasure;
import maplespread.lab.FleetMeasure;
import maplespread.lab.PartitionMeasure;
import maplespread.lab.RegistryMeasure;
import maplespread.lab.ReleaseMeasure;
import maplespread.lab.Report;
import maplespread.lab.ScaleMeasure;
import maplespread.lab.StarvationMeasure;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measurements that anyone can repeat. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Measures a part against its aims; exit status 1 where one is missed.",
        subcommands = {Measure.Registry.class, Measure.Address.class, Measure.Fleet.class, Measure.Scale.class})
final class Measure implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "name what is to be measured");
    }

    /** What all measurements have in common. */
    abstract static class Part implements Callable<Integer> {
        @Option(names = "--quick", description = "Ends within 50 s.")
        boolean quick;

        @Option(names = "--json", paramLabel = "FILE", description = "Writes all figures there, too.")
        private String json;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        abstract void run(Report report) throws Exception;

        @Override
        public Integer call() throws Exception {
            // Stand-ins break on purpose; what the log says of that is not part of the table.
            org.tinylog.configuration.Configuration.set("level", "off");
            Report report = new Report(spec.name(), spec.commandLine().getOut());
            run(report);
            return report.end(json) ? 0 : 1;
        }
    }

    @Command(
            name = "registry",
            mixinStandardHelpOptions = true,
            description = "How soon and at what cost a dispatcher learns what a registry holds.")
    static final class Registry extends Part {
        @Override
        void run(Report report) throws Exception {
            new RegistryMeasure(quick, report).run();
        }
    }

    @Command(
            name = "address",
            mixinStandardHelpOptions = true,
            description = "How long nobody owns the service address, and what the membership costs.")
    static final class Address extends Part {
        @Override
        void run(Report report) {
            new AddressMeasure(quick, report).run();
        }
    }

    @Command(
            name = "scale",
            mixinStandardHelpOptions = true,
            description = "What control costs a dispatcher against the size of the fleet: bytes, processor, memory.")
    static final class Scale extends Part {
        @Override
        void run(Report report) throws Exception {
            new ScaleMeasure(quick, report).run();
        }
    }

    @Command(
            name = "fleet",
            mixinStandardHelpOptions = true,
            description = "How many dispatchers' choices add up: cover, herd, cold work, shares, probes, worth.")
    static final class Fleet extends Part {
        /** What of the fleet; each a measurement by itself. */
        enum What {
            all,
            partition,
            release,
            starvation
        }

        @Option(
                names = "--part",
                defaultValue = "all",
                description = "One of ${COMPLETION-CANDIDATES}; all: how the choices add up (the default).")
        private What what;

        @Option(names = "--seed", defaultValue = "31", description = "Of the faults, for release (default: 31).")
        private long seed;

        @Override
        void run(Report report) throws Exception {
            switch (what) {
                case partition -> PartitionMeasure.run(quick, report);
                case release -> ReleaseMeasure.run(quick, seed, report);
                case starvation -> StarvationMeasure.run(quick, report);
                default -> FleetMeasure.run(quick, report);
            }
        }
    }
}
