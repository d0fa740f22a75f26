package review2;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What all cases share: the record, free ports, configurations, and the program's processes. */
final class Rig implements AutoCloseable {
    /** The run broke the rule, kept it, or could not be made. */
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    private static final Set<Integer> GIVEN_PORTS = new HashSet<>();
    private static final Random PORTS = new Random();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path temp;
    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final List<Process> commands = new ArrayList<>();

    Rig(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
        temp = Files.createTempDirectory("review2-");
        log("case", "trouble=" + trouble);
    }

    /** Milliseconds since the start of the case. */
    long ms() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Adds a line to record.txt. */
    void log(String who, String text) {
        synchronized (record) {
            record.printf("%8d %-12s %s%n", ms(), who, text);
            record.flush();
        }
    }

    /** The same, and to standard output. */
    void say(String text) {
        log("verdict", text);
        System.out.println(text);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A free port on loopback, for connections and for datagrams; below those that the system gives to clients. */
    static synchronized int freePort() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int i = 0; i < 1000; i++) {
            int port = 20_000 + PORTS.nextInt(12_000);
            try (ServerSocket socket = new ServerSocket();
                    DatagramSocket datagrams = new DatagramSocket(null)) {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(loopback, port));
                datagrams.bind(new InetSocketAddress(loopback, port));
                if (GIVEN_PORTS.add(port)) {
                    return port;
                }
            } catch (IOException e) {
                // in use: another one
            }
        }
        throw new IOException("no free port");
    }

    /** A process of silent-proxy.pl. */
    final class SilentProxy {
        final int port;
        private final Process process;

        private SilentProxy(Process process) throws IOException {
            this.process = process;
            String line = new BufferedReader(new InputStreamReader(process.getInputStream())).readLine();
            if (line == null) {
                throw new IOException("silent-proxy.pl did not start");
            }
            port = Integer.parseInt(line);
        }

        /** The connections that are open fall silent; later ones work. */
        void silence() throws IOException {
            kill("USR1", process);
        }
    }

    SilentProxy silentProxy(int targetPort) throws IOException {
        Process process = new ProcessBuilder("perl", "review/common-2/silent-proxy.pl", "" + targetPort)
                .redirectError(ProcessBuilder.Redirect.INHERIT).start();
        commands.add(process);
        return new SilentProxy(process);
    }

    private static void kill(String signal, Process process) throws IOException {
        try {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ------------------------------------------------------------ configuration

    /** A configuration like the site's: its classes, tenants, rules and permissions. */
    static String config(String name, int listen, int discovery, int balancers, int index) {
        return config(name, listen, discovery, balancers, index, 4000);
    }

    static String config(String name, int listen, int discovery, int balancers, int index, int deadlineMs) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"" + Long.toHexString(0x5eedL + index) + "\",\n"
                + " \"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
                + " \"known\":{\"generation\":0,\"reset\":true,\"instances\":[]},\n"
                + " \"settings\":{\"balancers\":" + balancers + ",\"index\":" + index
                + ",\"zone\":0,\"areas\":[\"lisboa-1\",\"porto-1\"],\"models\":[\"fast-4\"],\n"
                + "  \"discovery\":\"ask\",\"family\":\"jobs\",\"valueBy\":\"work\",\"weights\":\"silent\",\"tickMs\":2.0,"
                + "\"overShareWorth\":0.1,\n  \"classes\":[\n"
                + clazz("catalogue-page", deadlineMs, "read_like", 2) + ",\n"
                + clazz("stock-sync", deadlineMs, "read_like", 2) + ",\n"
                + clazz("checkout", deadlineMs, "non_idempotent", 10) + "],\n"
                + "  \"customers\":[{\"name\":\"marfim\",\"allowancePerS\":100,\"fraction\":1.0}],\n"
                + "  \"domain\":{\"tellsStart\":true,\"progressMs\":2000,\"queueOrder\":\"fifo\",\"reportX0\":\"free_slots\","
                + "\"classStretch\":[2.0,2.0,2.5],\"classKind\":[-1,-1,-1],\"classPriority\":[0,0,1]},\n"
                + "  \"permissions\":{\"cancel\":true,\"probing\":true,\"secondCopies\":true,\"tryLimit\":5,"
                + "\"dialTimeoutMs\":250,\"maxRetryAfterMs\":2000,\"connIdleMs\":30000,\"maxStreams\":1},\n"
                + "  \"reporting\":{\"fields\":[\"err_rps\",\"cpu\",\"x0\"],\"via\":\"pull\"},\n"
                + "  \"rules\":{\"answerSlackMs\":8,\"askWithinMs\":10000,\"coldFrom\":0.12,\"warmWithinMs\":24000,"
                + "\"drainGraceMs\":250,\"fallMultiple\":4,\"fallMs\":1000}}}\n";
    }

    private static String clazz(String name, int deadlineMs, String effect, int worth) {
        return "   {\"name\":\"" + name + "\",\"aimMs\":300,\"aimStretch\":2.0,\"deadlineMs\":" + deadlineMs + ",\"effect\":\""
                + effect + "\",\"dedupScope\":\"all\",\"repeatWindowMs\":5000,\"lateShare\":0,\"streaming\":false,\"worth\":"
                + worth + "}";
    }

    // ------------------------------------------------------------ the program's processes

    /** One process of the program, started with {@code run} of the deploy file. */
    final class Dispatcher {
        final String name;
        final int port;
        final int console;
        private final Path configFile;
        private final Path log;
        private Process process;

        Dispatcher(String name, int port, int console) {
            this.name = name;
            this.port = port;
            this.console = console;
            configFile = temp.resolve(name + ".json");
            log = temp.resolve(name + ".log");
        }

        /** Replaces the configuration file whole. */
        void configure(String text) throws IOException {
            Path next = temp.resolve(name + ".json.next");
            Files.writeString(next, text);
            Files.move(next, configFile, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void start(String operatorFile) throws IOException {
            Path tmp = temp.resolve(name + "-tmp");
            Files.createDirectories(tmp);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            Map<String, String> env = builder.environment();
            env.keySet().removeIf(key -> key.startsWith("BALANCER_") || key.equals("TROUBLE"));
            env.put("BALANCER_CONFIG", configFile.toString());
            env.put("BALANCER_CONSOLE", "127.0.0.1:" + console);
            env.put("TMPDIR", tmp.toString());
            if (operatorFile != null) {
                env.put("BALANCER_OPERATOR", operatorFile);
            }
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            log(name, "started, pid " + process.pid());
        }

        boolean alive() {
            return process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        void signal(String signal) throws IOException {
            log(name, "gets SIG" + signal);
            kill(signal, process);
        }

        /** Waits for 200 at the console's /admin/health. */
        boolean awaitHealthy(long limitMs) {
            return awaitYes(console, "/admin/health", limitMs);
        }

        /** Waits for 200 at /ready. */
        boolean awaitReady(long limitMs) {
            return awaitYes(port, "/ready", limitMs);
        }

        private boolean awaitYes(int at, String path, long limitMs) {
            long endMs = ms() + limitMs;
            while (ms() < endMs && process.isAlive()) {
                try (Http.Client client = new Http.Client(at)) {
                    if (client.get(path, 1000).status == 200) {
                        log(name, "says yes at " + path);
                        return true;
                    }
                } catch (IOException e) {
                    // not listening yet
                }
                sleep(50);
            }
            return false;
        }

        /** The lines of its log that hold one of these texts go into the record. */
        void copyLog(String... texts) throws IOException {
            if (!Files.exists(log)) {
                return;
            }
            try (BufferedReader lines = Files.newBufferedReader(log)) {
                int copied = 0;
                for (String line = lines.readLine(); line != null && copied < 200; line = lines.readLine()) {
                    for (String text : texts) {
                        if (line.contains(text)) {
                            log(name + " log", line);
                            copied++;
                            break;
                        }
                    }
                }
            }
        }

        void stop() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** A process that is to take this one's place: with another console, and all else the same. */
    Dispatcher successor(Dispatcher old) throws IOException {
        Dispatcher next = new Dispatcher(old.name, old.port, freePort());
        dispatchers.add(next);
        return next;
    }

    Dispatcher dispatcher(String name) throws IOException {
        Dispatcher dispatcher = new Dispatcher(name, freePort(), freePort());
        dispatchers.add(dispatcher);
        return dispatcher;
    }

    /** The value of {@code run} in deploy/balancer.toml; the current folder is the repository's root. */
    private static String runCommand() throws IOException {
        Matcher run = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"")
                .matcher(Files.readString(Path.of("deploy/balancer.toml"), StandardCharsets.UTF_8));
        if (!run.find()) {
            throw new IOException("no run command in deploy/balancer.toml");
        }
        return run.group(1);
    }

    private void stopAll() {
        dispatchers.forEach(Dispatcher::stop);
        commands.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        stopAll();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(temp)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            }
        } else {
            System.out.println("kept: " + temp);
        }
        record.close();
    }

    /** A case's body; returns one of the three results. */
    interface Body {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case and exits with its result. */
    static void main(String[] args, Body body) {
        int result = COULD_NOT_RUN;
        try (Rig rig = new Rig(args[0])) {
            Thread hook = new Thread(rig::stopAll);
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                result = body.run(rig);
            } catch (Exception e) {
                rig.say("the case could not run: " + e);
                for (StackTraceElement element : e.getStackTrace()) {
                    rig.log("case", "  at " + element);
                }
            }
            for (Dispatcher dispatcher : rig.dispatchers) {
                dispatcher.copyLog("list.state", "discovery.watch_ended", "configuration:", "ERROR", "malformed");
            }
            rig.say(result == BROKEN ? "BROKEN" : result == HELD ? "HELD" : "COULD NOT RUN");
        } catch (IOException e) {
            System.out.println("the case could not run: " + e);
            result = COULD_NOT_RUN;
        }
        System.exit(result);
    }
}
