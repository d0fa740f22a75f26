package maplespread.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplespread.discovery.EndpointParser;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySettings.Dialect;
import maplespread.release.Limits;
import maplespread.starvation.PriorityBoost;
import maplespread.subset.SubsetAssignment;

/**
 * The one place where the operators' own file is read, checked and given defaults. docs/operators/ has every
 * key.
 */
public final class OperatorReader {
    private static final int MOST_ELECTORS = 9;
    private static final int LEAST_SECRET = 16;

    private OperatorReader() {}

    /** From the file, or {@link OperatorConfig#NONE} where none is named. */
    public static OperatorConfig file(String file) throws ConfigException {
        return file == null || file.isEmpty() ? OperatorConfig.NONE : read(StrictJsonObject.file(file, "operator"));
    }

    /** From the file's text. */
    public static OperatorConfig text(String text) throws ConfigException {
        return read(StrictJsonObject.text(text, "operator"));
    }

    private static OperatorConfig read(StrictJsonObject root) throws ConfigException {
        StrictJsonObject log = root.part("log");
        boolean json = log.oneOf("form", "text", List.of("text", "json")).equals("json");
        RegistrySettings registry = root.has("registry") ? registry(root.part("registry")) : null;
        SubsetAssignment.SubsetSettings subset = null;
        if (root.has("subset")) {
            StrictJsonObject in = root.part("subset");
            subset = new SubsetAssignment.SubsetSettings(
                    in.whole("sharers", 10, 1, 100_000), in.whole("least", 20, 1, 1_000_000));
        }
        boolean fair = root.part("shares")
                .oneOf("beyond", "as_any", List.of("as_any", "give_way"))
                .equals("give_way");
        GroupSettings group = root.has("group") ? group(root.part("group")) : null;
        Limits release = root.has("release") ? release(root.part("release")) : null;
        if (release != null && group == null) {
            throw root.error("release", "needs a group: nothing can be agreed without one");
        }
        StarvationSettings starvation = root.has("starvation") ? starvation(root.part("starvation")) : null;
        PartitionSettings partition = root.has("partition") ? partition(root.part("partition")) : null;
        if (partition != null && group == null) {
            throw root.error("partition", "needs a group: no order can be kept without one");
        }
        if (partition != null && subset != null) {
            throw root.error("partition", "cannot go with subset, which may lack a partition's workers");
        }
        root.end();
        return new OperatorConfig(json, registry, subset, fair, group, release, starvation, partition);
    }

    private static StarvationSettings starvation(StrictJsonObject in) throws ConfigException {
        String verdicts = in.oneOf("verdicts", "log", List.of("log", "console", "both", "off"));
        StarvationSettings set = new StarvationSettings(
                (int) in.whole("window_ms", 1000, 100, 60_000),
                (int) in.whole("windows", 10, 3, 60),
                in.number("matters", 0.1, 0.01, 1),
                verdicts.equals("log") || verdicts.equals("both"),
                verdicts.equals("console") || verdicts.equals("both"),
                in.whole("bytes_per_s", 200_000, 1_000, 100_000_000),
                in.has("relief") ? relief(in.part("relief")) : null);
        return verdicts.equals("off") ? null : set;
    }

    private static PartitionSettings partition(StrictJsonObject in) throws ConfigException {
        String address = in.string("address", "");
        if (!address.isEmpty()) {
            address(in, "address", address);
        }
        long lease = in.whole("lease_ms", 300, 50, 60_000);
        long ask = in.whole("ask_ms", lease / 4, 5, lease / 2);
        long silent = in.whole("silent_ms", Math.max(2 * ask, lease * 5 / 6), 2 * ask, 60_000);
        long gone = in.whole("gone_ms", silent * 14 / 5, silent + ask, 600_000);
        return new PartitionSettings(
                in.object("table"), address, lease, ask, silent, gone, in.number("drift", 0.01, 0, 0.2), (int)
                        in.whole("slots", 64, 1, 256));
    }

    private static PriorityBoost.Limits relief(StrictJsonObject in) throws ConfigException {
        double most = in.number("most", 2, 1.05, 4);
        double step = in.number("step", 0.1, 0.01, 1);
        double total = in.number("total", 4, 0.05, 100);
        if (step > most - 1) {
            throw in.error("step", "must be at most " + (most - 1) + ", what most allows above 1");
        }
        if (total < most - 1) {
            throw in.error("total", "must be at least " + (most - 1) + ", what most allows one tenant");
        }
        return new PriorityBoost.Limits(most, step, total, true);
    }

    private static GroupSettings group(StrictJsonObject in) throws ConfigException {
        String listen = address(in, "listen", in.string("listen", null));
        String address = address(in, "address", in.string("address", listen));
        if (address.startsWith("0.0.0.0:") || address.startsWith("[::]:")) {
            throw in.error("address", "nobody can be reached at " + address + "; name one of this host's");
        }
        List<String> seeds = in.has("seeds") ? in.strings("seeds") : List.of();
        for (String seed : seeds) {
            address(in, "seeds", seed);
        }
        List<String> electors = in.strings("electors");
        if (electors.size() > MOST_ELECTORS) {
            throw in.error("electors", "at most " + MOST_ELECTORS + "; each change waits for most of them");
        }
        long period = in.whole("period_ms", 1000, 10, 60_000);
        long ack = in.whole("ack_ms", Math.max(1, period / 4), 1, 30_000);
        if (ack >= period) {
            throw in.error("ack_ms", "must be less than period_ms");
        }
        String version = in.string("version", "");
        if (!version.matches("[\\x21-\\x7e]{0,64}")) {
            throw in.error("version", "must be at most 64 printable characters without a space");
        }
        return new GroupSettings(listen, address, seeds, electors, keys(in), version, period, ack);
    }

    private static String address(StrictJsonObject in, String key, String text) throws ConfigException {
        try {
            EndpointParser.parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw in.error(key, e.getMessage());
        }
        return text;
    }

    /** Each file has one line: the key's number, and its secret in hexadecimal digits. */
    private static GroupSettings.Keys keys(StrictJsonObject in) throws ConfigException {
        Map<Integer, byte[]> keys = new LinkedHashMap<>();
        for (String file : in.strings("key_files")) {
            String[] words;
            try {
                words = Files.readString(Path.of(file)).strip().split("\\s+");
            } catch (IOException | InvalidPathException e) {
                throw in.error("key_files", "cannot read " + file + ": " + e.getMessage());
            }
            if (words.length != 2 || !words[0].matches("[0-9]{1,9}") || !words[1].matches("([0-9a-fA-F]{2})+")) {
                throw in.error("key_files", file + " must hold a number and a secret in hexadecimal digits");
            }
            byte[] secret = HexFormat.of().parseHex(words[1]);
            if (secret.length < LEAST_SECRET) {
                throw in.error("key_files", file + ": the secret must have " + LEAST_SECRET + " bytes or more");
            }
            if (keys.put(Integer.valueOf(words[0]), secret) != null) {
                throw in.error("key_files", file + ": number " + words[0] + " stands twice");
            }
        }
        return new GroupSettings.Keys(keys);
    }

    private static Limits release(StrictJsonObject in) throws ConfigException {
        Limits d = Limits.DEFAULT;
        return new Limits(
                out(in, "dispatchers_out", d.dispatchersOut()),
                out(in, "workers_out", d.workersOut()),
                out(in, "workers_out_zone", d.workersOutZone()),
                out(in, "workers_out_kind", d.workersOutKind()),
                in.number("least_capacity", d.leastCapacity(), 0, 1),
                in.whole("quiet_ms", d.quietMs(), 0, 3_600_000),
                in.whole("back_ms", d.backMs(), 1, 86_400_000),
                in.number("worse_refused", d.worseRefused(), 0, 1),
                in.number("worse_errors", d.worseErrors(), 0, 1),
                in.number("worse_wait", d.worseWait(), 0, 1000));
    }

    /** A count, or a share below 1. */
    private static double out(StrictJsonObject in, String key, double otherwise) throws ConfigException {
        double n = in.number(key, otherwise, 0, Limits.ANY);
        if (n > 1 && n != Math.rint(n)) {
            throw in.error(key, "must be a share below 1 or a whole number");
        }
        return n;
    }

    private static RegistrySettings registry(StrictJsonObject in) throws ConfigException {
        String word = in.oneOf("dialect", null, List.of("etcd", "consul-kv", "consul-health"));
        Dialect dialect =
                Dialect.valueOf(word.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
        List<String> endpoints = in.strings("endpoints");
        for (String endpoint : endpoints) {
            try {
                EndpointParser.parseAddress(endpoint);
            } catch (IllegalArgumentException e) {
                throw in.error("endpoints", e.getMessage());
            }
        }
        List<String> follow = in.strings("follow");
        List<String> inOrder = new ArrayList<>(follow);
        inOrder.sort(null);
        for (int i = 1; i < inOrder.size() && dialect != Dialect.CONSUL_HEALTH; i++) {
            if (inOrder.get(i).startsWith(inOrder.get(i - 1))) {
                throw in.error("follow", inOrder.get(i) + " lies within " + inOrder.get(i - 1));
            }
        }
        long dial = in.whole("dial_ms", RegistrySettings.DEFAULT_DIAL_MS, 1, 60_000);
        long silence = in.whole("silence_ms", RegistrySettings.DEFAULT_SILENCE_MS, 10, 3_600_000);
        long wait = in.whole("wait_ms", RegistrySettings.defaultWaitMs(endpoints.size()), 100, 600_000);
        long answer = in.whole(
                "answer_ms",
                RegistrySettings.defaultAnswerMs(dialect, endpoints.size(), follow.size(), dial, silence, wait),
                10,
                600_000);
        RegistrySettings settings = new RegistrySettings(
                dialect,
                endpoints,
                follow,
                in.string("token_file", ""),
                (int) in.whole("page", 1000, 1, 100_000),
                (int) in.whole("requests_per_s", 2000, 1, 1_000_000),
                dial,
                answer,
                silence,
                wait,
                in.whole("prefer_again_ms", 30_000, 100, 86_400_000),
                in.whole("restore_after_ms", 3000, 0, 3_600_000),
                in.whole("forget_after_ms", 15_000, 0, 3_600_000),
                in.whole("not_ready_after_ms", 60_000, 0, 86_400_000));
        String late = settings.keyBreakingStalenessLimit();
        if (late != null) {
            throw in.error(
                    late,
                    late.equals("requests_per_s")
                            ? "less than one request in answer_ms (" + answer + ")"
                            : "after a silence the new word may take " + settings.worstCaseMs() + " ms with dial_ms "
                                    + dial
                                    + ", answer_ms " + answer
                                    + (dialect == Dialect.ETCD ? ", silence_ms " + silence : ", wait_ms " + wait) + ", "
                                    + endpoints.size()
                                    + " endpoints and " + follow.size() + " to follow; at most "
                                    + settings.stalenessLimitMs()
                                    + " are allowed");
        }
        if (settings.notReadyAfterMs() > 0 && settings.notReadyAfterMs() < settings.stalenessLimitMs()) {
            throw in.error(
                    "not_ready_after_ms",
                    "must be 0 or at least " + settings.stalenessLimitMs()
                            + ", within which a sound registry may rightly be silent");
        }
        return settings;
    }
}
