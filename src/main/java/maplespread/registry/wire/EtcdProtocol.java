package maplespread.registry.wire;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import maplespread.registry.RegistryCall;
import maplespread.registry.RegistryEntry;
import maplespread.registry.Revision;

/**
 * etcd v3 by its JSON gateway: keys and values in base64, 64-bit numbers as strings, members that hold a zero
 * left out.
 */
public final class EtcdProtocol {
    /** A range's answer. */
    public record RangeResponse(Revision revision, List<RegistryEntry> entries, boolean more) {}

    /** A check's answer. */
    public record HistoryResponse(
            Revision revision, List<Long> counts, List<RegistryEntry> found, boolean deletedKeyFound) {}

    /** By prefix how many keys there are, and which of them have changed. */
    public record MissedChangesResponse(Revision revision, List<Long> counts, List<List<RegistryEntry>> changed) {}

    /** One line of a watch; {@code watch} is the id that the request gave. */
    public record WatchResponse(
            Revision revision,
            long watchId,
            boolean created,
            boolean canceled,
            long compactRevision,
            String cancelReason,
            boolean fragment,
            List<RegistryEntry> entries) {}

    /** What an answer other than 200 means. */
    public enum ErrorKind {
        COMPACTED,
        AHEAD,
        DENIED,
        OTHER
    }

    private EtcdProtocol() {}

    // ------------------------------------------------------------ requests

    /** Keys that begin with the prefix and lie behind {@code after}; revision 0: the present one. */
    public static RegistryRequest range(String prefix, String after, long revision, int limit) {
        JsonObject o = new JsonObject();
        o.addProperty("key", base64(after.isEmpty() ? prefix : after + '\0'));
        o.addProperty("range_end", end(prefix));
        number(o, "revision", revision);
        number(o, "limit", limit);
        return new RegistryRequest("POST", "/v3/kv/range", o.toString());
    }

    /**
     * By prefix the number of keys at a revision and one of them (null: none is asked for), then the key that
     * should not be there: all in one request.
     */
    public static RegistryRequest check(
            List<String> prefixes, List<RegistryCall.HistoryProof> proofs, String gone, long goneAt) {
        JsonArray ranges = new JsonArray();
        for (int i = 0; i < prefixes.size(); i++) {
            RegistryCall.HistoryProof proof = proofs.get(i);
            JsonObject count = operation(range(prefixes.get(i), "", proof.revision(), 0));
            count.getAsJsonObject("request_range").addProperty("count_only", true);
            ranges.add(count);
            if (proof.key() != null) {
                ranges.add(operation(get(proof.key(), proof.revision())));
            }
        }
        if (gone != null) {
            ranges.add(operation(get(gone, goneAt)));
        }
        JsonObject txn = new JsonObject();
        txn.add("success", ranges);
        return new RegistryRequest("POST", "/v3/kv/txn", txn.toString());
    }

    /** By prefix the number of keys, and those that have changed since these revisions. */
    public static RegistryRequest missed(List<String> prefixes, List<Long> since) {
        JsonArray ranges = new JsonArray();
        for (int i = 0; i < prefixes.size(); i++) {
            JsonObject count = operation(range(prefixes.get(i), "", 0, 0));
            count.getAsJsonObject("request_range").addProperty("count_only", true);
            JsonObject changed = operation(range(prefixes.get(i), "", 0, 0));
            number(changed.getAsJsonObject("request_range"), "min_mod_revision", since.get(i) + 1);
            ranges.add(count);
            ranges.add(changed);
        }
        JsonObject txn = new JsonObject();
        txn.add("success", ranges);
        return new RegistryRequest("POST", "/v3/kv/txn", txn.toString());
    }

    private static JsonObject operation(RegistryRequest range) {
        JsonObject o = new JsonObject();
        o.add("request_range", JsonParser.parseString(range.body()));
        return o;
    }

    /** One key at a revision (0: the present one). */
    public static RegistryRequest get(String key, long revision) {
        JsonObject o = new JsonObject();
        o.addProperty("key", base64(key));
        number(o, "revision", revision);
        return new RegistryRequest("POST", "/v3/kv/range", o.toString());
    }

    /**
     * One stream with a watch for each prefix, from these revisions on; the watches' ids count from one. The
     * gateway takes all messages of the stream from the one body.
     */
    public static RegistryRequest watch(List<String> prefixes, List<Long> from) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < prefixes.size(); i++) {
            JsonObject o = new JsonObject();
            o.addProperty("key", base64(prefixes.get(i)));
            o.addProperty("range_end", end(prefixes.get(i)));
            number(o, "start_revision", from.get(i));
            o.addProperty("progress_notify", true);
            o.addProperty("fragment", true);
            number(o, "watch_id", i + 1);
            JsonObject create = new JsonObject();
            create.add("create_request", o);
            all.append(create).append('\n');
        }
        return new RegistryRequest("POST", "/v3/watch", all.toString());
    }

    /** Lease 0: the key stays until it is deleted. */
    public static RegistryRequest put(String key, String value, long lease) {
        JsonObject o = new JsonObject();
        o.addProperty("key", base64(key));
        o.addProperty("value", base64(value));
        number(o, "lease", lease);
        return new RegistryRequest("POST", "/v3/kv/put", o.toString());
    }

    /** The put, only if the key's last change is still that of {@code revision}; the lease stays. */
    public static RegistryRequest swap(String key, String value, long revision) {
        JsonObject put = JsonParser.parseString(put(key, value, 0).body()).getAsJsonObject();
        put.addProperty("ignore_lease", true);
        return new RegistryRequest(
                "POST",
                "/v3/kv/txn",
                "{\"compare\":[{\"key\":\"" + base64(key)
                        + "\",\"target\":\"MOD\",\"result\":\"EQUAL\",\"mod_revision\":\"" + revision
                        + "\"}],\"success\":[{\"request_put\":" + put + "}]}");
    }

    public static RegistryRequest delete(String key) {
        return new RegistryRequest("POST", "/v3/kv/deleterange", "{\"key\":\"" + base64(key) + "\"}");
    }

    public static RegistryRequest grant(long seconds) {
        return new RegistryRequest("POST", "/v3/lease/grant", "{\"TTL\":\"" + seconds + "\"}");
    }

    public static RegistryRequest keepAlive(long lease) {
        return new RegistryRequest("POST", "/v3/lease/keepalive", "{\"ID\":\"" + lease + "\"}");
    }

    public static RegistryRequest revoke(long lease) {
        return new RegistryRequest("POST", "/v3/lease/revoke", "{\"ID\":\"" + lease + "\"}");
    }

    // ------------------------------------------------------------ answers

    public static RangeResponse page(String body) throws RegistryProtocolException {
        try {
            JsonObject o = object(body);
            return new RangeResponse(history(o), items(o, "kvs"), flag(o, "more"));
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a range's answer", e);
        }
    }

    /** The answer to a check. */
    public static HistoryResponse checked(String body, List<RegistryCall.HistoryProof> proofs, boolean gone)
            throws RegistryProtocolException {
        try {
            JsonObject o = object(body);
            List<RegistryEntry> found = new ArrayList<>();
            List<Long> counts = new ArrayList<>();
            JsonArray all = o.getAsJsonArray("responses");
            int next = 0;
            for (RegistryCall.HistoryProof proof : proofs) {
                counts.add(number(ranged(all, next++), "count"));
                List<RegistryEntry> items = proof.key() == null ? List.of() : items(ranged(all, next++), "kvs");
                found.add(items.isEmpty() ? null : items.get(0));
            }
            return new HistoryResponse(
                    history(o),
                    counts,
                    found,
                    gone && !items(ranged(all, next), "kvs").isEmpty());
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a check's answer", e);
        }
    }

    public static MissedChangesResponse missed(String body) throws RegistryProtocolException {
        try {
            JsonObject o = object(body);
            List<Long> counts = new ArrayList<>();
            List<List<RegistryEntry>> changed = new ArrayList<>();
            JsonArray all = o.getAsJsonArray("responses");
            for (int i = 0; i < all.size(); i += 2) {
                counts.add(number(ranged(all, i), "count"));
                changed.add(items(ranged(all, i + 1), "kvs"));
            }
            return new MissedChangesResponse(history(o), counts, changed);
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not an answer to what was missed", e);
        }
    }

    private static JsonObject ranged(JsonArray responses, int at) {
        return responses.get(at).getAsJsonObject().getAsJsonObject("response_range");
    }

    /** A line of a watch's stream. */
    public static WatchResponse notice(String line) throws RegistryProtocolException {
        try {
            JsonObject o = object(line).getAsJsonObject("result");
            List<RegistryEntry> items = new ArrayList<>();
            if (o.has("events")) {
                for (JsonElement e : o.getAsJsonArray("events")) {
                    JsonObject event = e.getAsJsonObject();
                    JsonObject kv = event.getAsJsonObject("kv");
                    boolean gone =
                            event.has("type") && event.get("type").getAsString().equals("DELETE");
                    items.add(gone ? RegistryEntry.deleted(text(kv, "key"), number(kv, "mod_revision")) : item(kv));
                }
            }
            return new WatchResponse(
                    history(o),
                    number(o, "watch_id"),
                    flag(o, "created"),
                    flag(o, "canceled"),
                    number(o, "compact_revision"),
                    o.has("cancel_reason") ? o.get("cancel_reason").getAsString() : "",
                    flag(o, "fragment"),
                    items);
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a watch's line", e);
        }
    }

    /**
     * What an error means: the gateway's status says little, its message is etcd's own (rpctypes/error.go).
     */
    public static ErrorKind fault(int status, String body) {
        String text = body;
        try {
            JsonObject o = object(body);
            text = o.has("message")
                    ? o.get("message").getAsString()
                    : o.get("error").toString();
        } catch (RuntimeException e) {
            // the status and the raw text must do
        }
        if (text.contains("has been compacted")) {
            return ErrorKind.COMPACTED;
        }
        if (text.contains("is a future revision")) {
            return ErrorKind.AHEAD;
        }
        return status == 401
                        || status == 403
                        || text.contains("permission denied")
                        || text.contains("invalid auth token")
                        || text.contains("user name is empty")
                ? ErrorKind.DENIED
                : ErrorKind.OTHER;
    }

    /** The id of a lease granted. */
    public static long lease(String body) throws RegistryProtocolException {
        try {
            return number(object(body), "ID");
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a lease", e);
        }
    }

    /** What is left to a lease, in seconds; 0: it has ended. */
    public static long left(String line) throws RegistryProtocolException {
        try {
            return number(object(line).getAsJsonObject("result"), "TTL");
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a lease's answer", e);
        }
    }

    /** Whether a swap was made. */
    public static boolean swapped(String body) throws RegistryProtocolException {
        try {
            return flag(object(body), "succeeded");
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a transaction's answer", e);
        }
    }

    // ------------------------------------------------------------ members

    private static JsonObject object(String body) {
        return JsonParser.parseString(body).getAsJsonObject();
    }

    private static Revision history(JsonObject o) {
        JsonObject h = o.getAsJsonObject("header");
        return new Revision(h.get("cluster_id").getAsString(), number(h, "revision"), number(h, "raft_term"));
    }

    private static List<RegistryEntry> items(JsonObject o, String name) {
        List<RegistryEntry> items = new ArrayList<>();
        if (o.has(name)) {
            for (JsonElement e : o.getAsJsonArray(name)) {
                items.add(item(e.getAsJsonObject()));
            }
        }
        return items;
    }

    private static RegistryEntry item(JsonObject kv) {
        int print = kv.has("value") ? kv.get("value").getAsString().hashCode() : 0;
        return RegistryEntry.lazy(text(kv, "key"), number(kv, "mod_revision"), print, () -> text(kv, "value"));
    }

    private static String text(JsonObject o, String name) {
        return o.has(name)
                ? new String(Base64.getDecoder().decode(o.get(name).getAsString()), StandardCharsets.UTF_8)
                : "";
    }

    private static long number(JsonObject o, String name) {
        return o.has(name) ? Long.parseLong(o.get(name).getAsString()) : 0;
    }

    private static boolean flag(JsonObject o, String name) {
        return o.has(name) && o.get(name).getAsBoolean();
    }

    private static void number(JsonObject o, String name, long value) {
        if (value != 0) {
            o.addProperty(name, Long.toString(value));
        }
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The first key behind all that begin with the prefix: its last byte that can be is raised by one. */
    static String end(String prefix) {
        byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
        int n = bytes.length;
        while (n > 0 && bytes[n - 1] == (byte) 0xff) {
            n--;
        }
        if (n == 0) {
            return Base64.getEncoder().encodeToString(new byte[1]); // to the end of all keys
        }
        byte[] end = Arrays.copyOf(bytes, n);
        end[n - 1]++;
        return Base64.getEncoder().encodeToString(end);
    }
}
