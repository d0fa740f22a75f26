package maplespread.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplespread.config.SettingsPathReader;
import maplespread.policy.AttemptOutcome;
import maplespread.policy.DispatchPolicy;
import maplespread.policy.EndpointEntry;
import maplespread.policy.EndpointLifecycle;
import maplespread.policy.EndpointListKind;
import maplespread.policy.EndpointListState;
import maplespread.policy.EndpointWatchFailure;
import maplespread.policy.LoadReport;
import maplespread.policy.PolicyActions;
import maplespread.policy.PolicyRequest;
import maplespread.policy.RejectionReason;

/**
 * Translates the simulator's wire to {@link Dispatch} and back: one {@link DispatchPolicy} per node. It decides
 * nothing.
 */
public final class SimulatorAdapter {
    /** A line that cannot be read. */
    public static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1;

        Malformed(String message) {
            super(message);
        }
    }

    private final BufferedReader in;
    private final PrintStream out;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, Node> nodes = new HashMap<>();
    private final Map<Integer, List<EndpointEntry>> sheets = new HashMap<>();
    private long lineNo;
    private String line = "";
    private final int[] ends = new int[512]; // where the parts of the line end
    private int parts;
    private String name = "";

    private static final class Node {
        DispatchPolicy logic;
        String[] reportFields = {};
    }

    public SimulatorAdapter(InputStream in, PrintStream out) {
        var decoder = StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT);
        this.in = new BufferedReader(new InputStreamReader(in, decoder), 1 << 16);
        this.out = out;
    }

    public void run() throws IOException {
        try {
            while (next()) {
                if (!name().equals("mark")) {
                    throw bad("a batch must open with mark");
                }
                batch(micros(num("tMs")));
                reply.append("done\n");
                out.print(reply);
                out.flush();
                reply.setLength(0);
            }
        } catch (java.nio.charset.CharacterCodingException e) {
            throw new Malformed("line " + (lineNo + 1) + ": not UTF-8");
        }
    }

    private void batch(long now) throws IOException {
        while (true) {
            if (!next()) {
                throw new Malformed("line " + lineNo + ": input ended inside a batch");
            }
            switch (name()) {
                case "your_turn" -> {
                    return;
                }
                case "enlist" -> enlist();
                case "retire" -> nodes.remove(integer("node"));
                case "sheet" -> sheet();
                default -> event(now);
            }
        }
    }

    private void event(long now) {
        switch (name()) {
            case "directory_update",
                    "arrival",
                    "opened",
                    "note",
                    "finished",
                    "lapsed",
                    "timer",
                    "health",
                    "note_from" -> {}
            default -> throw bad("unknown message " + name());
        }
        Node node = nodes.get(integer("node"));
        if (node == null) {
            throw bad("node " + text("node") + " was never enlisted");
        }
        DispatchPolicy logic = node.logic;
        try {
            switch (name()) {
                case "directory_update" -> directory(now, logic);
                case "arrival" ->
                    logic.requestAccepted(
                            now,
                            new PolicyRequest(
                                    id(),
                                    integer("priority"),
                                    (int) opt("tenant", 0),
                                    micros(num("dropDeadMs")),
                                    opt("workHintMs", Double.NaN),
                                    opt("coresNeeded", 1),
                                    opt("ramUnits", 0),
                                    find("targetKey")));
                case "opened" -> logic.responseStarted(now, id(), integer("roundNo"), text("executor"));
                case "note" -> {
                    int topic = integer("topic");
                    if (topic == 1 || topic == 2) {
                        logic.attemptProgressed(
                                now, id(), integer("roundNo"), text("executor"), topic == 1, opt("value", 0));
                    }
                }
                case "finished" ->
                    logic.attemptEnded(
                            now,
                            id(),
                            integer("roundNo"),
                            text("executor"),
                            verdict(),
                            num("lagMs"),
                            bool("terminal"),
                            report(node));
                case "lapsed" -> logic.requestAbandoned(now, id());
                case "timer" -> logic.timerExpired(now, id("label"));
                case "health" -> logic.probeEnded(now, text("executor"), verdict(), num("lagMs"), report(node));
                default -> {} // other nodes' words are passed over
            }
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw bad(e.getMessage());
        }
    }

    private void directory(long now, DispatchPolicy logic) {
        String scope = text("scope");
        if (scope.equals("X")) {
            logic.endpointWatchFailed(now, EndpointWatchFailure.ENDED, 0);
            return;
        }
        EndpointListKind kind =
                switch (scope) {
                    case "D" -> EndpointListKind.DELTA;
                    case "F" -> EndpointListKind.FULL_SNAPSHOT;
                    case "C" -> EndpointListKind.CACHED_SNAPSHOT;
                    default -> throw bad("unknown scope " + scope);
                };
        List<EndpointEntry> entries = sheets.get(integer("setId"));
        if (entries == null) {
            throw bad("no sheet " + text("setId"));
        }
        logic.endpointListReceived(now, kind, (long) num("epoch"), entries);
        // The simulator has no rule by which a change counts whether or not it arrived: there a list, the held one too,
        // stands for rules.askWithinMs, and the module asks sooner.
        logic.endpointListConfirmed(now);
    }

    private void sheet() throws IOException {
        int id = integer("setId");
        int count = integer("items");
        if (count < 0) {
            throw bad("items must not be negative");
        }
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (!next() || !name().equals("row")) {
                throw bad("expected row " + (i + 1) + " of " + count);
            }
            EndpointLifecycle health =
                    switch (text("health")) {
                        case "active" -> EndpointLifecycle.ACTIVE;
                        case "leaving" -> EndpointLifecycle.DRAINING;
                        case "left" -> EndpointLifecycle.REMOVED;
                        default -> throw bad("unknown health " + text("health"));
                    };
            entries.add(new EndpointEntry(
                    text("executor"),
                    health,
                    opt("rating", 1),
                    (int) opt("type", -1),
                    (int) opt("pack", 0),
                    (int) opt("site", 0),
                    opt("upSinceMs", 0)));
        }
        sheets.put(id, entries);
    }

    private void enlist() {
        int number = integer("node");
        long seed = id("initSeed");
        Map<String, String> f = new HashMap<>();
        for (String p : line.substring(line.indexOf(' ') + 1).split(" ")) {
            int eq = p.indexOf('=');
            if (eq < 1) {
                throw bad("a setting without a value: " + p);
            }
            f.put(p.substring(0, eq), p.substring(eq + 1));
        }
        Node node = new Node();
        String fields = f.getOrDefault("reporting.fields", "");
        node.reportFields = fields.isEmpty() ? new String[0] : fields.split(",");
        try {
            node.logic = new DispatchPolicy(SettingsPathReader.read(f), seed, new Wire(number));
        } catch (IllegalArgumentException e) {
            throw bad(e.getMessage());
        }
        nodes.put(number, node);
    }

    private LoadReport report(Node node) {
        String usage = find("usage");
        if (usage == null || usage.isEmpty()) {
            return null;
        }
        String[] values = usage.split(",", -1);
        double active = Double.NaN, waiting = Double.NaN, util = Double.NaN, service = Double.NaN;
        double x0 = Double.NaN, x1 = Double.NaN;
        for (int i = 0; i < values.length && i < node.reportFields.length; i++) {
            double v = parse(values[i], "usage");
            switch (node.reportFields[i]) {
                case "active" -> active = v;
                case "waiting" -> waiting = v;
                case "cpu" -> util = v;
                case "avg_ms" -> service = v;
                case "x0" -> x0 = v;
                case "x1" -> x1 = v;
                default -> {}
            }
        }
        return new LoadReport(active, waiting, util, service, x0, x1);
    }

    /** Writes one node's actions to the reply. */
    private final class Wire implements PolicyActions {
        private final int node;

        Wire(int node) {
            this.node = node;
        }

        private StringBuilder act(String name) {
            return reply.append(name).append(" node=").append(node);
        }

        @Override
        public void sendAttempt(long id, String worker) {
            act("assign")
                    .append(" call=")
                    .append(id)
                    .append(" executor=")
                    .append(worker)
                    .append('\n');
        }

        @Override
        public void reject(long id, double pauseMs, RejectionReason why) {
            act("refuse").append(" call=").append(id);
            if (pauseMs > 0) {
                reply.append(" pauseMs=").append(plain(pauseMs));
            }
            reply.append('\n');
        }

        @Override
        public void fail(long id, RejectionReason why) {
            act("report_failure").append(" call=").append(id).append('\n');
        }

        @Override
        public void cancelAttempt(long id, int attempt) {
            act("call_off")
                    .append(" call=")
                    .append(id)
                    .append(" roundNo=")
                    .append(attempt)
                    .append('\n');
        }

        @Override
        public void probe(String worker) {
            act("health_check").append(" executor=").append(worker).append('\n');
        }

        @Override
        public void watchEndpointList() {
            act("observe").append(" enable=1\n");
        }

        @Override
        public void scheduleTimer(double delayMs, long label) {
            act("remind")
                    .append(" fromNowMs=")
                    .append(plain(delayMs))
                    .append(" label=")
                    .append(label)
                    .append('\n');
        }

        @Override
        public void listStateChanged(EndpointListState from, EndpointListState to, double ageMs) {}

        @Override
        public void log(String text) {
            act("remark").append(" line=").append(text.replace('\n', ' ')).append('\n');
        }
    }

    /** Milliseconds to three places, never in exponent form. */
    private static String plain(double ms) {
        long us = Math.max(0, Math.round(ms * 1000));
        String frac = Long.toString(1000 + us % 1000).substring(1);
        return us / 1000 + "." + frac;
    }

    private boolean next() throws IOException {
        String read = in.readLine();
        if (read == null) {
            return false;
        }
        lineNo++;
        line = read;
        if (read.isEmpty() || read.charAt(0) == ' ') {
            throw bad("an empty line");
        }
        parts = 0;
        for (int at = read.indexOf(' '); at >= 0 && parts < ends.length - 1; at = read.indexOf(' ', at + 1)) {
            ends[parts++] = at;
        }
        ends[parts++] = read.length();
        name = read.substring(0, ends[0]);
        return true;
    }

    private String name() {
        return name;
    }

    private String find(String key) {
        int n = key.length();
        for (int i = 1; i < parts; i++) {
            int from = ends[i - 1] + 1;
            if (from + n < ends[i] && line.charAt(from + n) == '=' && line.startsWith(key, from)) {
                return line.substring(from + n + 1, ends[i]);
            }
        }
        return null;
    }

    private String text(String key) {
        String v = find(key);
        if (v == null || v.isEmpty()) {
            throw bad("missing " + key);
        }
        return v;
    }

    private double num(String key) {
        return parse(text(key), key);
    }

    private double opt(String key, double otherwise) {
        String v = find(key);
        return v == null ? otherwise : parse(v, key);
    }

    private int integer(String key) {
        double v = num(key);
        if (v != Math.rint(v) || Math.abs(v) > Integer.MAX_VALUE) {
            throw bad("not a whole number: " + key);
        }
        return (int) v;
    }

    private long id() {
        return id("call");
    }

    private long id(String key) {
        try {
            return Long.parseLong(text(key));
        } catch (NumberFormatException e) {
            throw bad("not a whole number: " + key);
        }
    }

    private boolean bool(String key) {
        String v = find(key);
        if (v == null || v.equals("0")) {
            return false;
        }
        if (!v.equals("1")) {
            throw bad("neither 0 nor 1: " + key);
        }
        return true;
    }

    private AttemptOutcome verdict() {
        return switch (integer("verdict")) {
            case 0 -> AttemptOutcome.SERVED;
            case 5 -> AttemptOutcome.ERROR;
            case 11 -> AttemptOutcome.REJECTED;
            case 110 -> AttemptOutcome.TIMED_OUT;
            case 111 -> AttemptOutcome.CONNECT_FAILED;
            case 104 -> AttemptOutcome.RESET;
            case 125 -> AttemptOutcome.CANCELLED;
            case 114 -> AttemptOutcome.NEVER_SENT;
            default -> throw bad("unknown verdict " + text("verdict"));
        };
    }

    private double parse(String v, String key) {
        try {
            return Double.parseDouble(v);
        } catch (NumberFormatException e) {
            throw bad("not a number: " + key);
        }
    }

    private static long micros(double ms) {
        return Math.round(ms * 1000);
    }

    private Malformed bad(String why) {
        String shown = line.length() > 200 ? line.substring(0, 200) + "..." : line;
        return new Malformed("line " + lineNo + ": " + why + " in: " + shown);
    }

    /** For tests: a decoder of one whole exchange. */
    static String exchange(String input) throws IOException {
        var bytes = new java.io.ByteArrayOutputStream();
        try (PrintStream out = new PrintStream(bytes, false, StandardCharsets.UTF_8)) {
            new SimulatorAdapter(new java.io.ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        }
        return StandardCharsets.UTF_8
                .decode(ByteBuffer.wrap(bytes.toByteArray()))
                .toString();
    }
}
