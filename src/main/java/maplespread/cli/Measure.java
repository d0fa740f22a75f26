package maplespread.cli;

import java.util.concurrent.Callable;
import maplespread.lab.RegistryMeasure;
import maplespread.lab.Report;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measurements that anyone can repeat. */
@Command(name = "measure", mixinStandardHelpOptions = true,
    description = "Measures a part against its aims; exit status 1 where one is missed.",
    subcommands = Measure.Registry.class)
final class Measure implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "name what is to be measured");
    }

    @Command(name = "registry", mixinStandardHelpOptions = true,
        description = "How soon and at what cost a dispatcher learns what a registry holds.")
    static final class Registry implements Callable<Integer> {
        @Option(names = "--quick", description = "Ends within 45 s.")
        private boolean quick;
        @Option(names = "--json", paramLabel = "FILE", description = "Writes all figures there, too.")
        private String json;
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override public Integer call() throws Exception {
            // The stand-in breaks on purpose; what the log says of that is not part of the table.
            org.tinylog.configuration.Configuration.set("level", "off");
            Report report = new Report("registry", spec.commandLine().getOut());
            new RegistryMeasure(quick, report).run();
            return report.end(json) ? 0 : 1;
        }
    }
}
