package maplespread.cli;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplespread.lab.registry.StandInRegistry;
import maplespread.lab.registry.Store;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Stand-ins to try the program with. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Plays an outside system on loopback.",
        subcommands = Lab.Registry.class)
final class Lab implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "name what is to be played");
    }

    @Command(
            name = "registry",
            mixinStandardHelpOptions = true,
            description = "A registry in both dialects, with faults by chance where wanted.")
    static final class Registry implements Callable<Integer> {
        @Option(names = "--port", defaultValue = "2379", description = "Default: ${DEFAULT-VALUE}.")
        private int port;

        @Option(
                names = "--members",
                defaultValue = "1",
                description = "So many, at this port and those after it. Default: ${DEFAULT-VALUE}.")
        private int members;

        @Option(
                names = "--keep",
                paramLabel = "REVISIONS",
                defaultValue = "1000",
                description = "Compacts what is older. Default: ${DEFAULT-VALUE}.")
        private long keep;

        @Option(
                names = "--cut",
                paramLabel = "CHANCE",
                defaultValue = "0",
                description = "Of an answer or line to end in its middle. Default: ${DEFAULT-VALUE}.")
        private double cut;

        @Option(names = "--seed", defaultValue = "1", description = "Of the chances. Default: ${DEFAULT-VALUE}.")
        private long seed;

        @Option(names = "--for", paramLabel = "SECONDS", defaultValue = "0", description = "Default: until ended.")
        private long seconds;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            Store store = new Store();
            store.keepLast(keep);
            for (int i = 0; i < members; i++) {
                StandInRegistry member = new StandInRegistry(store, seed + i, port == 0 ? 0 : port + i);
                member.faults.cut = cut;
                spec.commandLine().getOut().println("registry at " + member.address());
            }
            spec.commandLine().getOut().flush();
            new CountDownLatch(1).await(seconds > 0 ? seconds : Long.MAX_VALUE / 4, TimeUnit.SECONDS);
            return 0;
        }
    }
}
