package maplespread.cli;

import java.util.Locale;
import java.util.concurrent.Callable;
import maplespread.Start;
import maplespread.config.Config;
import maplespread.config.ConfigException;
import maplespread.config.ConfigReader;
import maplespread.config.OperatorConfig;
import maplespread.config.OperatorReader;
import maplespread.registry.RegistrySettings;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** All sub-commands. */
@Command(
        name = "maplespread",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "A dispatcher for the workers behind many services.",
        subcommands = {
            Cli.Serve.class,
            Cli.Drill.class,
            Cli.Rehearse.class,
            Cli.Check.class,
            RegistryCommands.class,
            Measure.class,
            Lab.class,
            AutoComplete.GenerateCompletion.class
        },
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {"0:done", "1:it could not be done, or an aim was missed", "2:a wrong call or configuration"})
public final class Cli implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a command; returns the exit status. */
    public static int run(String... args) {
        return line().execute(args);
    }

    static CommandLine line() {
        return new CommandLine(new Cli()).setExecutionExceptionHandler((e, line, parsed) -> {
            line.getErr().println(e.getMessage() == null ? e.toString() : e.getMessage());
            return e instanceof ConfigException ? 2 : 1;
        });
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String v = Start.class.getPackage().getImplementationVersion();
            return new String[] {"maplespread " + (v == null ? "(no version: not from its jar)" : v)};
        }
    }

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "One dispatcher, by BALANCER_CONFIG, until SIGTERM.")
    static final class Serve implements Runnable {
        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "The operators' own file. " + "Default: the variable BALANCER_OPERATOR, else none.")
        private String operator;

        @Override
        public void run() {
            Start.serve(operator != null ? operator : System.getenv("BALANCER_OPERATOR"));
        }
    }

    @Command(
            name = "drill",
            mixinStandardHelpOptions = true,
            description = "The decisions on the simulator's wire (standard input and output).")
    static final class Drill implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            Start.drill();
            return 0;
        }
    }

    @Command(
            name = "rehearse",
            mixinStandardHelpOptions = true,
            description = "Serves itself one request and ends; the build records its classes.")
    static final class Rehearse implements Callable<Integer> {
        @Override
        public Integer call() {
            Start.rehearse();
            return 0;
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Reads both configuration files and prints what counts, or the key that is wrong.")
    static final class Check implements Callable<Integer> {
        @Option(
                names = "--config",
                paramLabel = "FILE",
                description = "The platform's file. Default: BALANCER_CONFIG; without either it is passed over.")
        private String config;

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "The operators' file. Default: BALANCER_OPERATOR.")
        private String operator;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            var out = spec.commandLine().getOut();
            var env = new java.util.HashMap<>(System.getenv());
            if (config != null) {
                env.put("BALANCER_CONFIG", config);
            }
            String file = operator != null ? operator : env.get("BALANCER_OPERATOR");
            if (env.get("BALANCER_CONFIG") == null && file == null) {
                throw new CommandLine.ParameterException(spec.commandLine(), "name --config or --operator");
            }
            if (env.get("BALANCER_CONFIG") != null) {
                Config c = ConfigReader.fromEnvironment(env);
                out.printf(
                        "name                 %s%nlisten               %s%ndiscovery            %s%n",
                        c.name(), c.listen(), c.discovery());
                out.printf(
                        "classes              %s%nsizes                %s%ntimes                %s%n",
                        c.names().classes(), CheckOutput.limits(c.limits()), CheckOutput.times(c.times()));
                out.printf(
                        "known workers        %d%n",
                        c.cachedEndpoints().endpoints().size());
            }
            OperatorConfig o = OperatorReader.file(file);
            if (env.get("BALANCER_CONFIG") != null) {
                o.check(ConfigReader.fromEnvironment(env));
            }
            out.printf("log.form             %s%n", o.jsonLog() ? "json" : "text");
            out.printf(
                    "subset               %s%n",
                    o.subset() == null
                            ? "off: all workers are used"
                            : (long) o.subset().dispatchersPerWorker() + " dispatchers a worker, at least "
                                    + (long) o.subset().minWorkers() + " workers");
            out.printf("shares.beyond        %s%n", o.fair() ? "give_way" : "as_any");
            out.printf("group                %s%n", o.group() == null ? "off: dispatchers share nothing" : o.group());
            out.printf(
                    "release              %s%n",
                    o.release() == null ? "off: nothing is agreed on who is out" : o.release());
            out.printf("partition            %s%n", o.partition() == null ? "off: jobs have no order" : o.partition());
            RegistrySettings r = o.registry();
            if (r == null) {
                out.println("registry             off: routes come from discovery");
                return 0;
            }
            for (var component : RegistrySettings.class.getRecordComponents()) {
                Object value = component.getAccessor().invoke(r);
                String key = component.getName().replaceAll("([A-Z])", "_$1").toLowerCase(Locale.ROOT);
                out.printf("registry.%-20s %s%n", key, value);
            }
            return 0;
        }
    }
}
