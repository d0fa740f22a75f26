package maplespread.cli;

import com.google.gson.JsonObject;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplespread.config.OperatorReader;
import maplespread.discovery.EndpointListener;
import maplespread.discovery.EndpointParser;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySettings.Dialect;
import maplespread.registry.client.RegistryAdmin;
import maplespread.registry.client.RegistryEndpointSource;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Looks at a registry as a dispatcher would, and writes workers into it. */
@Command(
        name = "registry",
        mixinStandardHelpOptions = true,
        description = "Looks at a registry of workers and changes it.",
        subcommands = {
            RegistryCommands.List_.class,
            RegistryCommands.Watch.class,
            RegistryCommands.Put.class,
            RegistryCommands.Drain.class,
            RegistryCommands.Remove.class,
            RegistryCommands.Keep.class
        })
final class RegistryCommands implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    /** Which registry is meant. */
    static class Which {
        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "Take the registry of this operators' file. Default: BALANCER_OPERATOR.")
        private String operator;

        @Option(names = "--dialect", paramLabel = "NAME", description = "etcd, consul-kv or consul-health.")
        private String dialect;

        @Option(names = "--endpoint", paramLabel = "ADDRESS", split = ",", description = "Where it answers.")
        private List<String> endpoints;

        @Option(
                names = "--follow",
                paramLabel = "NAME",
                split = ",",
                description = "Key prefixes, or a service's name.")
        private List<String> follow;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        RegistrySettings settings() throws Exception {
            if (dialect != null && endpoints != null && follow != null) {
                Dialect d;
                try {
                    d = Dialect.valueOf(
                            dialect.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
                    endpoints.forEach(EndpointParser::parseAddress);
                } catch (IllegalArgumentException e) {
                    throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
                }
                return RegistrySettings.withDefaults(d, endpoints, follow);
            }
            String file = operator != null ? operator : System.getenv("BALANCER_OPERATOR");
            RegistrySettings r = OperatorReader.file(file).registry();
            if (r == null) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "name --operator with a registry in it, or --dialect, --endpoint and --follow");
            }
            return r;
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Follows the registry; the sink hears the whole first. */
        RegistryEndpointSource follow(java.util.function.Consumer<EndpointUpdate> heard) throws Exception {
            return new RegistryEndpointSource(
                    settings(), new EndpointParser(List.of(), List.of()), 1, System.nanoTime(), new EndpointListener() {
                        @Override
                        public void endpointsChanged(EndpointUpdate news) {
                            heard.accept(news);
                        }

                        @Override
                        public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {}

                        @Override
                        public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {}
                    });
        }
    }

    static final String ROW = "%-24s %-22s %-9s %7s %5s %15s%n";

    static void row(PrintWriter out, Endpoint r) {
        out.printf(
                ROW,
                r.worker(),
                r.address(),
                r.state(),
                r.weight(),
                r.cell(),
                r.startedAtMs() == 0 ? "long ago" : java.time.Instant.ofEpochMilli((long) r.startedAtMs()));
        out.flush();
    }

    static void head(PrintWriter out) {
        out.printf(ROW, "WORKER", "ADDRESS", "STATE", "WEIGHT", "CELL", "STARTED");
    }

    @Command(
            name = "ls",
            mixinStandardHelpOptions = true,
            description = "Lists the workers as a dispatcher sees them; exit status 1 where it cannot.")
    static final class List_ extends Which implements Callable<Integer> {
        @Option(
                names = "--within",
                paramLabel = "SECONDS",
                defaultValue = "10",
                description = "How long to wait for the registry. Default: ${DEFAULT-VALUE}.")
        private long within;

        @Override
        public Integer call() throws Exception {
            Map<String, Endpoint> all = new TreeMap<>();
            CountDownLatch whole = new CountDownLatch(1);
            try (RegistryEndpointSource source = follow(news -> {
                if (whole.getCount() > 0) {
                    news.endpoints().forEach(r -> all.put(r.worker(), r));
                    whole.countDown();
                }
            })) {
                source.start();
                if (!whole.await(within, TimeUnit.SECONDS)) {
                    throw new RegistryAdminFailure("the registry has not told its list in " + within + " s");
                }
            }
            head(out());
            all.values().forEach(r -> row(out(), r));
            return 0;
        }
    }

    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            description = "Prints all workers, then each change as it comes, until ended.")
    static final class Watch extends Which implements Callable<Integer> {
        @Option(
                names = "--for",
                paramLabel = "SECONDS",
                defaultValue = "0",
                description = "End after so long. Default: never.")
        private long seconds;

        @Override
        public Integer call() throws Exception {
            head(out());
            try (RegistryEndpointSource source = follow(news -> news.endpoints().forEach(r -> row(out(), r)))) {
                source.start();
                new CountDownLatch(1).await(seconds > 0 ? seconds : Long.MAX_VALUE / 4, TimeUnit.SECONDS);
            }
            return 0;
        }
    }

    /** Which worker, and what it is. */
    static class Worker extends Which {
        @Parameters(index = "0", paramLabel = "WORKER", description = "The worker's name.")
        String worker;

        @Parameters(index = "1", paramLabel = "ADDRESS", description = "Where it listens, as 10.1.0.18:7070.")
        private String address;

        @Option(names = "--zone", description = "Its zone, as the platform's file names it.")
        private String zone;

        @Option(names = "--machine-type", description = "Its kind of machine.")
        private String machineType;

        @Option(names = "--cell", defaultValue = "0", description = "Its cell. Default: ${DEFAULT-VALUE}.")
        private int cell;

        @Option(names = "--weight", defaultValue = "1", description = "Its weight. Default: ${DEFAULT-VALUE}.")
        private double weight;

        @Option(
                names = "--started-at-ms",
                paramLabel = "MS",
                description = "When it started, in Unix time; 0: long ago. Default: now, which counts as cold.")
        private Long startedAtMs;

        JsonObject value() {
            EndpointParser.parseAddress(address);
            JsonObject o = new JsonObject();
            o.addProperty("instanceId", worker);
            o.addProperty("hostPort", address);
            if (zone != null) {
                o.addProperty("zone", zone);
            }
            if (machineType != null) {
                o.addProperty("machineType", machineType);
            }
            o.addProperty("cell", cell);
            o.addProperty("lifecycle", "SERVING");
            o.addProperty("weight", weight);
            o.addProperty("startedAtMs", startedAtMs == null ? System.currentTimeMillis() : startedAtMs);
            return o;
        }
    }

    @Command(name = "put", mixinStandardHelpOptions = true, description = "Writes a worker that serves.")
    static final class Put extends Worker implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            try (RegistryAdmin admin = new RegistryAdmin(settings())) {
                admin.put(worker, value(), "", 0);
            }
            return 0;
        }
    }

    /** Something done to each of several workers; exit status 1 where one is not there. */
    abstract static class Each extends Which implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "WORKER")
        private List<String> workers;

        /** False: it is not there. */
        abstract boolean done(RegistryAdmin admin, String worker) throws RegistryAdmin.RegistryAdminException;

        abstract String word();

        @Override
        public Integer call() throws Exception {
            int status = 0;
            try (RegistryAdmin admin = new RegistryAdmin(settings())) {
                for (String worker : workers) {
                    boolean done = done(admin, worker);
                    out().println(worker + (done ? word() : " is not there"));
                    status = done ? status : 1;
                }
            }
            return status;
        }
    }

    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description = "Has workers drain: they finish what they hold and get nothing new.")
    static final class Drain extends Each {
        @Override
        boolean done(RegistryAdmin admin, String worker) throws RegistryAdmin.RegistryAdminException {
            return admin.drain(worker);
        }

        @Override
        String word() {
            return " drains";
        }
    }

    @Command(name = "rm", mixinStandardHelpOptions = true, description = "Removes workers.")
    static final class Remove extends Each {
        @Override
        boolean done(RegistryAdmin admin, String worker) throws RegistryAdmin.RegistryAdminException {
            return admin.remove(worker);
        }

        @Override
        String word() {
            return " is removed";
        }
    }

    @Command(
            name = "keep",
            mixinStandardHelpOptions = true,
            description = {
                "Registers a worker under a lease and keeps it until ended by SIGTERM or SIGINT; then drains it,",
                "waits for what it holds, and removes it. If this process dies, the lease ends by itself."
            })
    static final class Keep extends Worker implements Callable<Integer> {
        @Option(
                names = "--ttl",
                paramLabel = "SECONDS",
                defaultValue = "10",
                description = "How long the worker stays without word from here. Default: ${DEFAULT-VALUE}.")
        private long ttl;

        @Option(
                names = "--grace",
                paramLabel = "SECONDS",
                defaultValue = "5",
                description = "From the drain to the removal. Default: ${DEFAULT-VALUE}.")
        private long grace;

        @Option(
                names = "--for",
                paramLabel = "SECONDS",
                defaultValue = "0",
                description = "End after so long. Default: never.")
        private long seconds;

        @Override
        public Integer call() throws Exception {
            CountDownLatch ended = new CountDownLatch(1);
            CountDownLatch over = new CountDownLatch(1);
            JsonObject value = value();
            try (RegistryAdmin admin = new RegistryAdmin(settings())) {
                String lease = admin.grantLease(ttl);
                admin.put(worker, value, lease, ttl);
                out().println(worker + " serves");
                out().flush();
                // Registered only now: a signal before that leaves nothing behind but a lease that ends.
                Thread hook = new Thread(() -> {
                    ended.countDown();
                    try {
                        over.await(grace + 10, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                Runtime.getRuntime().addShutdownHook(hook);
                try {
                    lease = keepUntil(admin, lease, value, ended);
                    admin.drain(worker);
                    out().println(worker + " drains");
                    out().flush();
                    // Renewed meanwhile: the worker must not vanish before it has finished.
                    rest(admin, lease);
                    admin.revokeLease(lease, worker);
                    out().println(worker + " is removed");
                    out().flush();
                } finally {
                    over.countDown();
                    if (ended.getCount() > 0) {
                        Runtime.getRuntime().removeShutdownHook(hook);
                    }
                }
            }
            return 0;
        }

        private String keepUntil(RegistryAdmin admin, String first, JsonObject value, CountDownLatch ended)
                throws InterruptedException {
            String lease = first;
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            while (!ended.await(Math.max(100, ttl * 1000 / 3), TimeUnit.MILLISECONDS)
                    && (seconds == 0 || System.nanoTime() < end)) {
                try {
                    if (!admin.renewLease(lease, worker)) { // it has ended: the registry has lost it
                        lease = admin.grantLease(ttl);
                        admin.put(worker, value, lease, ttl);
                        out().println(worker + " serves again");
                        out().flush();
                    }
                } catch (RegistryAdmin.RegistryAdminException e) { // asked again after a third of the lease
                    out().println(e.getMessage());
                    out().flush();
                }
            }
            return lease;
        }

        private void rest(RegistryAdmin admin, String lease) throws Exception {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(grace);
            while (System.nanoTime() < end) {
                admin.renewLease(lease, worker);
                Thread.sleep(Math.min(ttl * 1000 / 3, Math.max(1, (end - System.nanoTime()) / 1_000_000)));
            }
        }
    }

    /** A failure whose message is all that is to be said. */
    static final class RegistryAdminFailure extends Exception {
        private static final long serialVersionUID = 1;

        RegistryAdminFailure(String why) {
            super(why);
        }
    }
}
