package maplespread.lab.rig;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;

/**
 * One real dispatcher process. It keeps its address over restarts, as the platform's do. No process outlives
 * the rig: each is ended by {@link #end}, and by a hook where the rig's own process is ended first.
 */
final class ServeProcess {
    private static final Pattern SERVES = Pattern.compile("serves on /127\\.0\\.0\\.1:([0-9]+)");
    private static final Pattern CONSOLE = Pattern.compile("console on /127\\.0\\.0\\.1:([0-9]+)");
    private static final Pattern PHASE = Pattern.compile("(SERVING|QUIESCED) after [A-Z]+, by call");
    private static final long START_MS = 60_000;
    private static final int CALL_MS = 3000;
    private static final long LONG_MS = 2000; // standing still, its clients wait in vain
    private final String name;
    private final Path folder;
    private final Path config;
    private final Path operator;
    private Process process;
    private volatile int port;
    private volatile int consolePort;
    private volatile boolean said;
    private volatile boolean drained; // by call, as its log says; until it is back
    private volatile boolean stopped; // SIGSTOP
    private volatile long struckAt; // killed or stopped; 0: it is not, or is back
    private volatile long excusedAt; // killed, or stopped for long; 0: never

    ServeProcess(String name, Path folder) {
        this.name = name;
        this.folder = folder;
        operator = folder.resolve(name + "-operator.json");
        config = folder.resolve(name + ".json");
    }

    /**
     * Starts it on this configuration, the address put in, and the operators' file, null: none. Returns at
     * once.
     */
    synchronized void start(String text, String operators) throws IOException {
        Files.writeString(config, text);
        said = false;
        stopped = false;
        Path tmp = folder.resolve(name + ".tmp");
        Files.createDirectories(tmp);
        ProcessBuilder call = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-XX:+UseSerialGC",
                        "-Xmx40m",
                        "-Xss256k",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:-UsePerfData",
                        "-Djava.net.preferIPv4Stack=true",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "maplespread.Main",
                        "serve")
                .redirectErrorStream(true);
        call.environment().put("BALANCER_CONFIG", config.toString());
        call.environment().put("BALANCER_NAME", name);
        call.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
        call.environment().put("BALANCER_CONSOLE", "127.0.0.1:" + consolePort);
        call.environment().put("TMPDIR", tmp.toString());
        call.environment().remove("JAVA_TOOL_OPTIONS");
        if (operators != null) {
            Files.writeString(operator, operators);
            call.environment().put("BALANCER_OPERATOR", operator.toString());
        }
        process = call.start();
        Process mine = process;
        Runtime.getRuntime().addShutdownHook(new Thread(mine::destroyForcibly));
        LoopbackListeners.daemon("log " + name, () -> {
            try (BufferedReader log = new BufferedReader(new InputStreamReader(mine.getInputStream()));
                    var kept = Files.newBufferedWriter(
                            folder.resolve(name + ".log"),
                            java.nio.file.StandardOpenOption.CREATE,
                            java.nio.file.StandardOpenOption.APPEND)) {
                for (String line = log.readLine(); line != null; line = log.readLine()) {
                    kept.write(line + "\n");
                    kept.flush();
                    Matcher m = SERVES.matcher(line);
                    if (m.find()) {
                        port = Integer.parseInt(m.group(1));
                        said = true;
                        drained = false;
                        struckAt = 0;
                    }
                    m = CONSOLE.matcher(line);
                    if (m.find()) {
                        consolePort = Integer.parseInt(m.group(1));
                    }
                    m = PHASE.matcher(line);
                    if (m.find()) {
                        drained = m.group(1).equals("QUIESCED");
                    }
                }
            }
        });
    }

    /** Waits until it says that it serves. */
    void awaitServing() throws IOException, InterruptedException {
        long end = System.nanoTime() + START_MS * 1_000_000;
        while (!said) {
            if (!process.isAlive() || System.nanoTime() > end) {
                throw new IOException(name + " did not come up; see " + folder.resolve(name + ".log"));
            }
            Thread.sleep(5);
        }
    }

    boolean serving() {
        return said && process.isAlive();
    }

    /** Whether clients are sent to it, as far as a front can know. */
    boolean taking() {
        return serving() && !drained;
    }

    /** Whether it takes nobody in: dead, standing still, not up yet, or drained by call. */
    boolean out() {
        return !taking() || stopped;
    }

    /** Whether it is out by its own drain, and has not come back since, whatever befell it meanwhile. */
    boolean drained() {
        return drained;
    }

    /** Since when it is out by accident, in nanoseconds; 0: it is not. */
    long struckAt() {
        return drained ? 0 : struckAt;
    }

    /** A call at its console: status, a blank, and what it says. */
    String call(String method, String target, String body) throws IOException {
        InetSocketAddress console = new InetSocketAddress("127.0.0.1", consolePort);
        try (HttpConnection link = HttpConnection.dial(console, CALL_MS)) {
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.responseOrError(1 << 20, text::write);
            link.send((method + ' ' + target + " HTTP/1.1\r\nHost: rig\r\nContent-Length: "
                            + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.UTF_8));
            link.receive(parser, CALL_MS);
            return parser.head().status() + " " + text.toString(StandardCharsets.UTF_8);
        }
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** Whether it was killed, or stood still for long, since: what it held then nobody could answer. */
    boolean struckSince(long nanos) {
        long at = struckAt;
        return excusedAt != 0 && excusedAt - nanos >= 0
                || stopped && at != 0 && System.nanoTime() - at > LONG_MS * 1_000_000;
    }

    synchronized void kill() throws InterruptedException {
        excusedAt = struckAt = System.nanoTime();
        retire();
    }

    /** Ends it when it holds nothing: an answer that lacks then is a wrong. */
    synchronized void retire() throws InterruptedException {
        said = false;
        process.destroyForcibly().waitFor();
    }

    /** SIGSTOP, SIGCONT, SIGHUP, SIGTERM. */
    void signal(String signal) throws IOException, InterruptedException {
        long now = System.nanoTime();
        if (signal.equals("STOP")) {
            stopped = true;
            struckAt = now;
        }
        new ProcessBuilder(List.of("kill", "-" + signal, Long.toString(process.pid())))
                .start()
                .waitFor();
        if (signal.equals("CONT")) {
            excusedAt = struckAt != 0 && now - struckAt > LONG_MS * 1_000_000 ? now : excusedAt;
            stopped = false;
            struckAt = 0;
        }
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** Ends it whatever state it is in; whether it is gone. */
    boolean end() throws InterruptedException {
        if (process == null) {
            return true;
        }
        process.destroyForcibly();
        return process.waitFor(10, TimeUnit.SECONDS);
    }
}
