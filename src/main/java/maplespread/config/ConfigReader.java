package maplespread.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import maplespread.discovery.EndpointParser;
import maplespread.discovery.WatchTimeouts;
import maplespread.facade.EndpointUpdate;
import maplespread.policy.PolicySettings;
import maplespread.policy.RequestClass;

/** The one place where the configuration is read, checked and given defaults. */
public final class ConfigReader {
    private static final long FIRST_LIST_MS = 4500; // a turn among a hundred callers, and the answer
    private static final Set<String> EFFECTS = Set.of("read_like", "idempotency_key", "non_idempotent");
    private static final List<String> ABOVE_ZERO = List.of("aimMs", "deadlineMs");
    private static final Set<String> MAY_LACK = Set.of("seed", "known", "settings.classes[].aimStretch");
    private static final int LEAST_SOCKETS = 160;
    /** The JVM's own and the heap that {@code run} allows; then what a thread was seen to cost. */
    private static final double MEMORY_KEPT_MB = 84;

    private static final double LEAST_MEMORY_MB = 90;
    private static final double THREAD_KB = 125;

    private final Map<String, String> flat = new HashMap<>(); // the settings by path

    private ConfigReader() {}

    /**
     * The file anew, for a program that runs: the address of discovery is now the file's word alone, whatever
     * the environment said at the start.
     */
    public static Config again(Map<String, String> env) throws ConfigException {
        Map<String, String> rest = new HashMap<>(env);
        rest.remove("BALANCER_DISCOVERY");
        return fromEnvironment(rest);
    }

    /** From the environment: BALANCER_CONFIG names the file, the other variables win over it. */
    public static Config fromEnvironment(Map<String, String> env) throws ConfigException {
        String file = env.get("BALANCER_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("BALANCER_CONFIG", "names no file");
        }
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new ConfigException("BALANCER_CONFIG", "cannot read " + file + ": " + e.getMessage());
        }
        return read(text, env);
    }

    /** From the text of the file and the variables that win over it. */
    public static Config read(String text, Map<String, String> env) throws ConfigException {
        JsonObject root;
        try {
            root = JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new ConfigException("BALANCER_CONFIG", "not a JSON object");
        }
        return new ConfigReader().read(root, env);
    }

    private Config read(JsonObject root, Map<String, String> env) throws ConfigException {
        JsonObject set = object(root, "settings");
        flatten("", set);
        check(set);
        Config.Names names = new Config.Names(
                named(set, "classes"),
                named(set, "customers"),
                strings(set, "areas"),
                strings(set, "models"),
                Set.of());
        PolicySettings settings = settings();
        JsonObject limits = root.has("limits") ? object(root, "limits") : new JsonObject();
        int sockets = (int) number(limits, "limits.", "sockets", 1024);
        double memoryMb = number(limits, "limits.", "memory_mb", 192);
        if (sockets < LEAST_SOCKETS) {
            throw new ConfigException("limits.sockets", "at least " + LEAST_SOCKETS + " are needed");
        }
        InetSocketAddress console = optional(root, env, "console", "BALANCER_CONSOLE");
        sockets -= console == null ? 0 : Config.MAX_ADMIN_CONNECTIONS + 2; // never the clients'
        return new Config(
                string(root, env, "name", "BALANCER_NAME"),
                address(string(root, env, "listen", "BALANCER_LISTEN"), "listen"),
                console,
                path(env.get("TMPDIR")),
                address(string(root, env, "discovery", "BALANCER_DISCOVERY"), "discovery"),
                seed(root),
                settings,
                names,
                sizes(sockets, Math.max(memoryMb, LEAST_MEMORY_MB)),
                times(settings),
                known(root, names),
                Set.copyOf(keys("", root)));
    }

    /**
     * The keys that a later file must have too. Of a list of objects those that all of them have; not what is
     * meant for a start alone, nor what the platform says may lack.
     */
    private static Set<String> keys(String path, JsonElement e) {
        Set<String> all = new TreeSet<>();
        if (e.isJsonObject()) {
            for (var member : e.getAsJsonObject().entrySet()) {
                String key = path.isEmpty() ? member.getKey() : path + '.' + member.getKey();
                if (!MAY_LACK.contains(key)) {
                    all.add(key);
                    all.addAll(keys(key, member.getValue()));
                }
            }
        } else if (e.isJsonArray()) {
            Set<String> common = null;
            for (JsonElement item : e.getAsJsonArray()) {
                Set<String> here = keys(path + "[]", item);
                if (common == null) {
                    common = here;
                }
                common.retainAll(here);
            }
            all.addAll(common == null ? Set.of() : common);
        }
        return all;
    }

    /**
     * Every client connection costs a descriptor and a thread, every transaction in work one more of each. A
     * third of the descriptors is for clients with requests, who are to find some of it free; an eighth is
     * for those that have brought none yet, a third for branches; threads get the memory that {@code run}
     * leaves to them.
     */
    private static Config.Limits sizes(int sockets, double memoryMb) {
        int threads = (int) ((memoryMb - MEMORY_KEPT_MB) * 1024 / THREAD_KB);
        int transactions = Math.min(256, Math.min(sockets / 3, threads * 2 / 5));
        return new Config.Limits(
                transactions,
                transactions + Math.min(sockets / 8, threads / 5),
                sockets / 4,
                transactions + sockets / 12,
                sockets / 12,
                Math.min(32, sockets / 24));
    }

    private static Config.Times times(PolicySettings set) {
        double longest = set.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(0);
        double idle =
                set.permissions().idleConnectionMs() > 0 ? set.permissions().idleConnectionMs() * 2 / 3 : 10_000;
        long dial = Math.max(1, Math.round(set.permissions().connectTimeoutMs()));
        return new Config.Times(
                dial,
                Math.max(500, 2 * dial),
                1000,
                (long) idle,
                60_000,
                2_500,
                WatchTimeouts.ofProtocol(),
                (long) longest,
                500,
                (long) Math.min(2000, longest),
                (long) Math.min(3000, longest) + 500,
                FIRST_LIST_MS);
    }

    // ------------------------------------------------------------ settings

    private void flatten(String path, JsonElement e) {
        if (e.isJsonObject()) {
            for (var member : e.getAsJsonObject().entrySet()) {
                flatten(path.isEmpty() ? member.getKey() : path + '.' + member.getKey(), member.getValue());
            }
        } else if (e.isJsonArray()) {
            JsonArray all = e.getAsJsonArray();
            List<String> plain = new ArrayList<>();
            boolean objects = false;
            for (int i = 0; i < all.size(); i++) {
                objects |= all.get(i).isJsonObject();
                if (all.get(i).isJsonPrimitive()) {
                    plain.add(all.get(i).getAsString());
                } else {
                    flatten(path + '.' + i, all.get(i));
                }
            }
            flat.put(objects ? path + ".count" : path, objects ? "" + all.size() : String.join(",", plain));
        } else if (e.isJsonPrimitive()) {
            flat.put(path, e.getAsString());
        }
    }

    /** What the module's own checks would reject, or pass over in silence, named by its key here. */
    private void check(JsonObject set) throws ConfigException {
        int classes = array(set, "classes").size();
        if (classes == 0) {
            throw new ConfigException("settings.classes", "at least one class is needed");
        }
        for (int i = 0; i < classes; i++) {
            String at = "classes." + i + ".";
            for (String key : ABOVE_ZERO) {
                within(at + key, Math.nextUp(0.0), 1e9, Double.NaN);
            }
            within(at + "worth", 0, 1e12, 1);
            within(at + "lateShare", 0, 1, 0);
            within(at + "aimStretch", 0, 1e6, 0);
            within(at + "repeatWindowMs", 0, 1e12, 0);
            String effect = flat.get(at + "effect");
            if (effect == null || !EFFECTS.contains(effect)) {
                throw new ConfigException("settings." + at + "effect", "must be one of " + sorted(EFFECTS));
            }
        }
        int tenants = set.has("customers") ? array(set, "customers").size() : 0;
        for (int i = 0; i < tenants; i++) {
            within("customers." + i + ".allowancePerS", 0, 1e12, 0);
        }
        within("balancers", 1, 1e6, 1);
        within("zone", -1, 1e6, 0);
        within("permissions.tryLimit", 1, 1e6, 1);
        within("permissions.dialTimeoutMs", 0, 1e6, 250);
        within("permissions.maxRetryAfterMs", 0, 1e9, 0);
        within("permissions.connIdleMs", 0, 1e9, 0);
        within("rules.drainGraceMs", 0, 1e9, 0);
        within("rules.askWithinMs", 1, 1e9, 10_000);
        within("rules.answerSlackMs", 0, 1e9, 0);
        within("rules.coldFrom", Math.nextUp(0.0), 1, 0.1);
        within("rules.warmWithinMs", 0, 1e9, 30_000);
        within("rules.fallMultiple", Math.nextUp(0.0), 1e9, 1);
        within("rules.fallMs", Math.nextUp(0.0), 1e9, 1000);
        within("domain.progressMs", 0, 1e9, 0);
        within("tickMs", 0, 1e6, 1);
        within("overShareWorth", 0, 1e9, 1);
        within("penalties.crossZone", 0, 1e9, 0);
    }

    /** {@code otherwise}: what stands in where the key is absent; NaN where it must be there. */
    private void within(String key, double low, double high, double otherwise) throws ConfigException {
        String text = flat.get(key);
        if (text == null && Double.isNaN(otherwise)) {
            throw new ConfigException("settings." + key, "is missing");
        }
        double v;
        try {
            v = text == null ? otherwise : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new ConfigException("settings." + key, "not a number: " + text);
        }
        if (!(v >= low && v <= high)) {
            String from = low == Math.nextUp(0.0) ? "above 0" : "from " + low;
            throw new ConfigException(
                    "settings." + key, "out of range: " + text + "; " + from + " up to " + high + " may stand there");
        }
    }

    private PolicySettings settings() throws ConfigException {
        // Real clients may always be told when to come back.
        flat.put("permissions.retryAfter", "true");
        try {
            return SettingsPathReader.read(flat);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings", e.getMessage());
        }
    }

    private static List<String> named(JsonObject set, String key) throws ConfigException {
        List<String> names = new ArrayList<>();
        if (set.has(key)) {
            int i = 0;
            for (JsonElement e : array(set, key)) {
                String at = "settings." + key + "." + i++;
                if (!e.isJsonObject() || !e.getAsJsonObject().has("name")) {
                    throw new ConfigException(at + ".name", "is missing");
                }
                names.add(text(e.getAsJsonObject().get("name"), at + ".name"));
            }
        }
        return List.copyOf(names);
    }

    private static List<String> strings(JsonObject set, String key) throws ConfigException {
        List<String> names = new ArrayList<>();
        if (set.has(key)) {
            for (JsonElement e : array(set, key)) {
                names.add(text(e, "settings." + key));
            }
        }
        return List.copyOf(names);
    }

    private static String text(JsonElement e, String key) throws ConfigException {
        if (!e.isJsonPrimitive()) {
            throw new ConfigException(key, "must be a plain value");
        }
        return e.getAsString();
    }

    // ------------------------------------------------------------ the rest

    private static EndpointUpdate known(JsonObject root, Config.Names names) throws ConfigException {
        if (!root.has("known") || root.get("known").isJsonNull()) {
            return new EndpointUpdate(EndpointUpdate.Kind.CACHED_SNAPSHOT, 0, List.of());
        }
        try {
            EndpointUpdate news = new EndpointParser(names.zones(), names.kinds()).parse(object(root, "known"));
            return new EndpointUpdate(EndpointUpdate.Kind.CACHED_SNAPSHOT, news.version(), news.endpoints());
        } catch (EndpointParser.MalformedListException e) {
            throw new ConfigException("known", e.getMessage());
        }
    }

    private static long seed(JsonObject root) throws ConfigException {
        String text = root.has("seed") ? text(root.get("seed"), "seed") : "0";
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "not a hexadecimal number: " + text);
        }
    }

    private static String string(JsonObject root, Map<String, String> env, String key, String variable)
            throws ConfigException {
        String text = env.get(variable);
        if (text == null || text.isEmpty()) {
            text = root.has(key) && root.get(key).isJsonPrimitive()
                    ? root.get(key).getAsString()
                    : "";
        }
        if (text.isEmpty()) {
            throw new ConfigException(key, "is missing");
        }
        return text;
    }

    private static Path path(String text) {
        return text == null || text.isEmpty() ? null : Path.of(text);
    }

    /** Null where neither names one. */
    private static InetSocketAddress optional(JsonObject root, Map<String, String> env, String key, String variable)
            throws ConfigException {
        boolean told = !env.getOrDefault(variable, "").isEmpty()
                || root.has(key) && !root.get(key).isJsonNull();
        return told ? address(string(root, env, key, variable), key) : null;
    }

    private static InetSocketAddress address(String text, String key) throws ConfigException {
        try {
            return EndpointParser.parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(key, "not an address with a port: " + text);
        }
    }

    private static double number(JsonObject in, String path, String key, double otherwise) throws ConfigException {
        try {
            double v = in.has(key) ? in.get(key).getAsDouble() : otherwise;
            if (v > 0) {
                return v;
            }
        } catch (RuntimeException e) {
            // said below
        }
        throw new ConfigException(path + key, "not a number above 0");
    }

    private static JsonObject object(JsonObject in, String key) throws ConfigException {
        if (!in.has(key) || !in.get(key).isJsonObject()) {
            throw new ConfigException(key, "must be an object");
        }
        return in.getAsJsonObject(key);
    }

    private static JsonArray array(JsonObject set, String key) throws ConfigException {
        if (!set.has(key) || !set.get(key).isJsonArray()) {
            throw new ConfigException("settings." + key, "must be a list");
        }
        return set.getAsJsonArray(key);
    }

    private static List<String> sorted(Set<String> words) {
        return words.stream().sorted().toList();
    }
}
