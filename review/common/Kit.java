package review;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * What the cases share: the record, the dispatcher's processes, and stand-ins for clients, workers and discovery that
 * follow PROTOCOL-maplespread.md. Everything listens on 127.0.0.1. All processes are ended when the program ends.
 */
final class Kit {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Path ROOT = Path.of("").toAbsolutePath();
    private static final long LIMIT_MS = 115_000;
    private static final long START_NANOS = System.nanoTime();
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    private static PrintWriter record;
    private static Path folder;

    private Kit() {}

    /** A case: returns whether the rule held. An exception means that the case could not run. */
    interface Case {
        boolean run() throws Exception;
    }

    /** Runs a case in its folder and ends the program: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    static void main(String number, Case test) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(ROOT.resolve("review/" + number + "/record.txt")), true);
        folder = Files.createTempDirectory("review-" + number + "-");
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
        daemon("limit", () -> {
            Thread.sleep(LIMIT_MS);
            say("the case took longer than " + LIMIT_MS + " ms");
            end(2);
        });
        say("TROUBLE=" + (TROUBLE ? 1 : 0));
        int status = 2;
        try {
            status = test.run() ? 0 : 1;
            say(status == 0 ? "RESULT: the rule held" : "RESULT: the rule was broken");
        } catch (Throwable e) {
            say("RESULT: the case could not run: " + e);
            e.printStackTrace();
        }
        end(status);
    }

    private static void end(int status) {
        record.flush();
        System.exit(status);
    }

    private static void endAll() {
        for (Process process : PROCESSES) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        try {
            for (Process process : PROCESSES) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
            if (System.getenv("KEEP") != null) {
                System.out.println("kept " + folder);
                return;
            }
            try (Stream<Path> all = Files.walk(folder)) {
                all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            }
        } catch (IOException | InterruptedException e) {
            System.out.println("clean-up: " + e);
        }
    }

    static Path folder() {
        return folder;
    }

    /** Milliseconds since the start of the case. */
    static double nowMs() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    /** Writes one line to record.txt and to standard output. */
    static synchronized void say(String text) {
        String line = String.format(Locale.ROOT, "%10.1f %s", nowMs(), text);
        record.println(line);
        System.out.println(line);
    }

    /** Writes one line to record.txt alone. */
    static synchronized void note(String text) {
        record.println(String.format(Locale.ROOT, "%10.1f %s", nowMs(), text));
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread daemon(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (Exception e) {
                        // the other side has ended, or the case is over
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Check {
        boolean holds() throws Exception;
    }

    static boolean await(long limitMs, Check check) throws InterruptedException {
        double end = nowMs() + limitMs;
        while (true) {
            try {
                if (check.holds()) {
                    return true;
                }
            } catch (Exception e) {
                // not yet
            }
            if (nowMs() > end) {
                return false;
            }
            Thread.sleep(5);
        }
    }

    static void require(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException(what);
        }
    }

    static int freePort() throws IOException {
        while (true) {
            try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                    DatagramSocket udp = new DatagramSocket(tcp.getLocalPort(), tcp.getInetAddress())) {
                return udp.getLocalPort();
            } catch (IOException e) {
                // the port is in use for UDP
            }
        }
    }

    // ------------------------------------------------------------ processes of the project

    /** The command {@code run} of deploy/balancer.toml. */
    static String runCommand() throws IOException {
        for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.indexOf('"', 7));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    /** Starts a shell command from the repository's root; its output goes to a file in the temporary folder. */
    static Process start(String name, String command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .directory(ROOT.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        builder.environment().putAll(environment);
        Process process = builder.start();
        PROCESSES.add(process);
        return process;
    }

    static void signal(Process process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** One dispatcher, started by the deploy file's command; it keeps name and addresses over restarts. */
    static final class Dispatcher {
        final String name;
        final int port = freePort();
        int console = freePort();
        final Path config;
        final Path operator;
        final Path tmp;
        Process process;

        Dispatcher(String name, String configText, String operatorText) throws IOException {
            this.name = name;
            config = folder.resolve(name + ".json");
            operator = folder.resolve(name + "-operator.json");
            tmp = folder.resolve(name + "-tmp");
            Files.createDirectories(tmp);
            Files.writeString(config, json(configText));
            if (operatorText != null) {
                Files.writeString(operator, json(operatorText));
            }
        }

        void start() throws IOException {
            Map<String, String> environment = new LinkedHashMap<>();
            environment.put("BALANCER_NAME", name);
            environment.put("BALANCER_CONFIG", config.toString());
            environment.put("BALANCER_LISTEN", "127.0.0.1:" + port);
            environment.put("BALANCER_CONSOLE", "127.0.0.1:" + console);
            environment.put("TMPDIR", tmp.toString());
            if (Files.exists(operator)) {
                environment.put("BALANCER_OPERATOR", operator.toString());
            }
            process = Kit.start(name, runCommand(), environment);
            note("start of " + name + ", process " + process.pid() + ", clients' address 127.0.0.1:" + port);
        }

        boolean ready() throws IOException {
            return get(port, "GET", "/ready", "").status == 200;
        }

        void awaitReady() throws InterruptedException {
            require(await(30_000, this::ready), name + " was not ready within 30 s");
        }

        Answer call(String method, String target, String body) throws IOException {
            return get(console, method, target, body);
        }
    }

    static String json(String text) {
        return text.replace('\'', '"');
    }

    /** The settings of a small deployment, after example/config.json; times as there. */
    static String config(String name, int discoveryPort, int dispatchers, int index, String known) {
        return "{'name':'" + name + "','listen':'127.0.0.1:0','discovery':'127.0.0.1:" + discoveryPort + "','seed':'"
                + Integer.toHexString(42 + index) + "','limits':{'cores':1.0,'memory_mb':192,'sockets':1024},'known':"
                + known + ",'settings':{'balancers':" + dispatchers + ",'index':" + index
                + ",'zone':0,'areas':['here'],'models':['toy'],'discovery':'ask','valueBy':'work','tickMs':2.0,"
                + "'overShareWorth':0.1,'classes':["
                + "{'name':'catalogue-page','aimMs':300,'deadlineMs':6000,'effect':'read_like','dedupScope':'all','worth':2},"
                + "{'name':'stock-sync','aimMs':300,'deadlineMs':5000,'effect':'read_like','dedupScope':'all','worth':2},"
                + "{'name':'checkout','aimMs':300,'deadlineMs':5000,'effect':'non_idempotent','dedupScope':'all','worth':10}],"
                + "'customers':[{'name':'marfim','allowancePerS':40}],"
                + "'domain':{'tellsStart':true,'progressMs':2000,'classStretch':[2.0,2.0,2.5],'classKind':[-1,-1,-1]},"
                + "'permissions':{'cancel':true,'probing':true,'secondCopies':true,'tryLimit':5,'dialTimeoutMs':250,"
                + "'maxRetryAfterMs':2000,'connIdleMs':30000},'reporting':{'fields':['err_rps','cpu','x0'],'via':'pull'},"
                + "'rules':{'answerSlackMs':8,'askWithinMs':10000,'coldFrom':0.12,'warmWithinMs':24000,"
                + "'drainGraceMs':250,'fallMultiple':4,'fallMs':1000}}}";
    }

    // ------------------------------------------------------------ HTTP

    static final class Answer {
        int status;
        String body = "";
        final Map<String, String> fields = new LinkedHashMap<>();
        double atMs;

        String order() {
            return fields.getOrDefault("x-order", "-");
        }
    }

    /** A message as it came: the first line, the fields by their names in small letters, and the body. */
    static final class Message {
        String first = "";
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        for (String field = line(in); !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            message.fields.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(message.fields.getOrDefault("content-length", "0"));
        message.body = in.readNBytes(length);
        if (message.body.length < length) {
            throw new EOFException("the connection ended");
        }
        return message;
    }

    private static Answer answer(InputStream in) throws IOException {
        Message message = read(in);
        Answer answer = new Answer();
        answer.status = Integer.parseInt(message.first.split(" ")[1]);
        answer.fields.putAll(message.fields);
        answer.body = new String(message.body, StandardCharsets.UTF_8).strip();
        answer.atMs = nowMs();
        return answer;
    }

    /** One call on a connection of its own. */
    static Answer get(int port, String method, String target, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(5000);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream()
                    .write((method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                                    + bytes.length + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
            return answer(socket.getInputStream());
        }
    }

    private static final AtomicLong LAST_ID = new AtomicLong();
    private static final long ID_SEED = System.currentTimeMillis() & 0xffffffL;

    static String freshId() {
        return String.format("%06x%010x", ID_SEED, LAST_ID.incrementAndGet());
    }

    /** A client that keeps its connection, sends one job at a time and waits for the answer. */
    static final class Client implements Closeable {
        private Socket socket;

        /**
         * Sends a job that runs for {@code runMs} at the worker; waits for its answer for {@code waitMs}. Throws where
         * there is none: the connection was refused or ended, or the wait was over.
         */
        Answer send(int port, String lane, String entity, int runMs, String id, int remainingMs, int waitMs)
                throws IOException {
            return send(port, lane, entity, runMs, id, remainingMs, waitMs, 0, 0);
        }

        /** The same with a body, and with a result of about so many bytes. */
        Answer send(
                int port,
                String lane,
                String entity,
                int runMs,
                String id,
                int remainingMs,
                int waitMs,
                int bodyBytes,
                int resultBytes)
                throws IOException {
            byte[] head = ("POST /" + lane + "?run=" + runMs + "&result=" + resultBytes + " HTTP/1.1\r\nHost: api.internal\r\n"
                            + "X-Txn: " + id + "\r\nX-Lane: " + lane + "\r\nX-Org: marfim\r\n"
                            + (entity == null ? "" : "X-Entity: " + entity + "\r\n") + "X-Remaining-Ms: " + remainingMs
                            + "\r\nX-Estimate: " + runMs * 1000 + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8);
            byte[] request = Arrays.copyOf(head, head.length + bodyBytes);
            boolean kept = socket != null;
            try {
                return exchange(port, request, waitMs);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) { // the end of a kept connection may have crossed the request: it is sent once more
                if (!kept) {
                    throw e;
                }
                note("a kept connection ended: " + id + " is sent once more");
                return exchange(port, request, waitMs);
            }
        }

        private Answer exchange(int port, byte[] request, int waitMs) throws IOException {
            boolean answered = false;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                }
                socket.setSoTimeout(waitMs);
                socket.getOutputStream().write(request);
                Answer answer = answer(socket.getInputStream());
                answered = !"close".equalsIgnoreCase(answer.fields.get("connection"));
                return answer;
            } finally {
                if (!answered) {
                    close();
                }
            }
        }

        @Override
        public void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // it is closed
            }
            socket = null;
        }
    }

    // ------------------------------------------------------------ workers

    /** A job at a worker, from its last byte until its end there. */
    static final class Run {
        final String id;
        final String key;
        final String worker;
        final double beganMs;
        volatile double endedMs = Double.MAX_VALUE;

        Run(String id, String key, String worker, double beganMs) {
            this.id = id;
            this.key = key;
            this.worker = worker;
            this.beganMs = beganMs;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT, "job %s of key %s at %s from %.1f to %.1f", id, key, worker, beganMs, endedMs);
        }
    }

    /** All jobs that began at any worker. */
    static final List<Run> RUNS = java.util.Collections.synchronizedList(new ArrayList<>());

    /** How many jobs wait or run at the workers. */
    static final AtomicInteger HELD = new AtomicInteger();

    /**
     * A worker with so many slots: starts a job when its last byte has come and a slot is free, in order; tells of the start, of
     * progress and of the end.
     */
    static final class Worker {
        final String name;
        private final int slots;
        private final String zone;
        /** Where dispatchers reach it. */
        int address;
        final int port;
        private final AtomicLong active = new AtomicLong();
        private final Semaphore free;

        Worker(String name) throws IOException {
            this(name, 16, "here");
        }

        Worker(String name, int slots, String zone) throws IOException {
            this.name = name;
            this.slots = slots;
            free = new Semaphore(slots, true);
            this.zone = zone;
            ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            address = port;
            daemon(name, () -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon(name + " connection", () -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws IOException, InterruptedException {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message message = read(in);
                    if (message.first.startsWith("GET")) {
                        long busy = active.get();
                        plain(socket.getOutputStream(), 200, json("{'eps':0,'util':" + Math.min(1.0, busy / (double) slots)
                                + ",'x0':" + Math.max(0, slots - busy) + "}"));
                    } else {
                        job(socket.getOutputStream(), message);
                    }
                }
            }
        }

        private void job(OutputStream out, Message message) throws IOException, InterruptedException {
            String id = message.fields.get("x-txn");
            if (id == null) {
                plain(out, 404, "no id");
                return;
            }
            String target = message.first.split(" ")[1];
            int runMs = number(target, "run=", 0);
            int resultBytes = number(target, "result=", 0);
            active.incrementAndGet();
            HELD.incrementAndGet();
            boolean open = tell(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            free.acquire(); // in the order in which they came
            Run run = new Run(id, message.fields.getOrDefault("x-entity", "-"), name, nowMs());
            RUNS.add(run);
            note(name + " begins " + id + " of key " + run.key);
            try {
                open = open && event(out, id, "'started'");
                double end = run.beganMs + runMs;
                double nextNote = run.beganMs + 2000;
                while (nowMs() < end) { // a job that is given up goes on running
                    double step = Math.min(end, nextNote) - nowMs();
                    if (step > 0) {
                        Thread.sleep((long) step, (int) ((step - (long) step) * 1e6));
                    }
                    if (nowMs() >= nextNote) {
                        double share = Math.min(1, (nowMs() - run.beganMs) / runMs);
                        open = open && event(out, id, "'running','share':" + String.format(Locale.ROOT, "%.3f", share));
                        nextNote += 2000;
                    }
                }
            } finally {
                run.endedMs = nowMs();
                free.release();
                active.decrementAndGet();
                HELD.decrementAndGet();
                note(name + " ends " + id + " of key " + run.key);
            }
            String result = name + " did " + id;
            if (!open || !event(out, id, "'done','result':'" + filled(result, resultBytes) + "'") || !tell(out, "0\r\n\r\n")) {
                throw new EOFException("the dispatcher has gone");
            }
        }

        private static int number(String target, String name, int otherwise) {
            int at = target.indexOf(name);
            return at < 0 ? otherwise : Integer.parseInt(target.substring(at + name.length()).split("&")[0]);
        }

        private boolean event(OutputStream out, String id, String rest) {
            String line = json("{'id':'" + id + "','from':'" + name + "','state':" + rest + "}") + "\n";
            int bytes = line.getBytes(StandardCharsets.UTF_8).length;
            return tell(out, Integer.toHexString(bytes) + "\r\n" + line + "\r\n");
        }

        /** A result of so many bytes, or a few less: a page with prices. */
        private static String filled(String result, int bytes) {
            String item = "<li>casaco de inverno, 49,90 \u20ac</li>";
            int itemBytes = item.getBytes(StandardCharsets.UTF_8).length;
            return result + item.repeat(Math.max(0, (bytes - result.length()) / itemBytes));
        }

        private static boolean tell(OutputStream out, String text) {
            try {
                out.write(text.getBytes(StandardCharsets.UTF_8));
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        private static void plain(OutputStream out, int status, String text) throws IOException {
            out.write(("HTTP/1.1 " + status + " X\r\nContent-Length: " + text.length() + "\r\n\r\n" + text)
                    .getBytes(StandardCharsets.UTF_8));
        }

        String entry(String lifecycle) {
            return json("{'instanceId':'" + name + "','hostPort':'127.0.0.1:" + address
                    + "','zone':'" + zone + "','machineType':'toy','cell':1,'lifecycle':'" + lifecycle
                    + "','weight':1.0,'startedAtMs':0}");
        }
    }

    // ------------------------------------------------------------ discovery

    /**
     * Discovery: the whole list, and a watch whose first object holds what changed after the version that was named, or
     * the whole list where that version is not one of its own.
     */
    static final class Discovery {
        final int port;
        private final long firstGeneration;
        private long generation;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final List<String> changes = new ArrayList<>(); // by generation after the first
        /** When an object with the newest generation was last written to a watch, by generation. */
        final Map<Long, Double> writtenMs = new java.util.concurrent.ConcurrentHashMap<>();

        Discovery(long generation, List<Worker> workers) throws IOException {
            firstGeneration = generation;
            this.generation = generation;
            workers.forEach(worker -> entries.put(worker.name, worker.entry("SERVING")));
            ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            daemon("discovery", () -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon("discovery connection", () -> serve(socket));
                }
            });
        }

        /** Changes a worker's state; all watches are told. */
        synchronized long set(Worker worker, String lifecycle) {
            String entry = worker.entry(lifecycle);
            if (lifecycle.equals("DELETED")) {
                entries.remove(worker.name);
            } else {
                entries.put(worker.name, entry);
            }
            changes.add(entry);
            generation++;
            notifyAll();
            return generation;
        }

        synchronized String whole() {
            return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                    + String.join(",", entries.values()) + "]}";
        }

        private synchronized String since(long known) {
            if (known < firstGeneration || known > generation) {
                return whole();
            }
            return "{\"generation\":" + generation + ",\"reset\":false,\"instances\":["
                    + String.join(",", changes.subList((int) (known - firstGeneration), changes.size())) + "]}";
        }

        private void serve(Socket socket) throws IOException, InterruptedException {
            try (socket) {
                Message message = read(new java.io.BufferedInputStream(socket.getInputStream()));
                String target = message.first.split(" ")[1];
                note("discovery is asked: " + target);
                OutputStream out = socket.getOutputStream();
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                if (!target.contains("follow=1")) {
                    chunk(out, whole());
                    out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                    return;
                }
                int at = target.indexOf("since=");
                long known = at < 0 ? 0 : Long.parseLong(target.substring(at + 6).split("&")[0]);
                String text = since(known);
                while (true) {
                    long told;
                    synchronized (this) {
                        told = text.isEmpty() ? known : Long.parseLong(text.split("[:,]")[1]);
                    }
                    chunk(out, text);
                    if (!text.isEmpty()) {
                        note("discovery tells: " + text);
                        writtenMs.put(told, nowMs());
                    }
                    known = told;
                    synchronized (this) {
                        if (generation == known) {
                            wait(2000);
                        }
                        text = generation == known ? "" : since(known);
                    }
                }
            }
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            String line = text + "\n";
            out.write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    /** The lines of a log in the temporary folder that contain a word. */
    static void noteLog(String name, String... words) throws IOException {
        try (BufferedReader log = new BufferedReader(new InputStreamReader(
                Files.newInputStream(folder.resolve(name + ".log")), StandardCharsets.UTF_8))) {
            for (String text = log.readLine(); text != null; text = log.readLine()) {
                for (String word : words) {
                    if (text.contains(word)) {
                        note("log of " + name + ": " + text);
                        break;
                    }
                }
            }
        }
    }
}
