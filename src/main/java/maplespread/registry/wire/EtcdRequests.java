package maplespread.registry.wire;

import static maplespread.registry.wire.EtcdJson.addNumber;
import static maplespread.registry.wire.EtcdJson.base64;
import static maplespread.registry.wire.EtcdJson.rangeEnd;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import maplespread.registry.RegistryCall;

/** Requests to etcd v3 by its JSON gateway. A revision of 0 stands for the present one. */
public final class EtcdRequests {
    private static final String RANGE_PATH = "/v3/kv/range";
    private static final String TRANSACTION_PATH = "/v3/kv/txn";
    private static final String REQUEST_RANGE = "request_range";

    private EtcdRequests() {}

    /** Reads at most {@code limit} keys (0: all) that begin with the prefix and come after {@code afterKey}. */
    public static RegistryRequest range(String prefix, String afterKey, long revision, int limit) {
        return post(RANGE_PATH, rangeBody(prefix, afterKey, revision, limit).toString());
    }

    private static JsonObject rangeBody(String prefix, String afterKey, long revision, int limit) {
        JsonObject body = new JsonObject();
        body.addProperty("key", base64(afterKey.isEmpty() ? prefix : afterKey + '\0'));
        body.addProperty("range_end", rangeEnd(prefix));
        addNumber(body, "revision", revision);
        addNumber(body, "limit", limit);
        return body;
    }

    /** Reads one key at a revision. */
    public static RegistryRequest key(String key, long revision) {
        return post(RANGE_PATH, keyBody(key, revision).toString());
    }

    private static JsonObject keyBody(String key, long revision) {
        JsonObject body = new JsonObject();
        body.addProperty("key", base64(key));
        addNumber(body, "revision", revision);
        return body;
    }

    /**
     * Asks in one transaction, by prefix, for the number of keys at the proof's revision and for its key (null:
     * for none), then for the key that should not be there (null: for none).
     */
    public static RegistryRequest verifyHistory(
            List<String> prefixes, List<RegistryCall.HistoryProof> proofs, String deletedKey, long deletedAtRevision) {
        JsonArray operations = new JsonArray();
        for (int i = 0; i < prefixes.size(); i++) {
            RegistryCall.HistoryProof proof = proofs.get(i);
            operations.add(count(prefixes.get(i), proof.revision()));
            if (proof.key() != null) {
                operations.add(operation(keyBody(proof.key(), proof.revision())));
            }
        }
        if (deletedKey != null) {
            operations.add(operation(keyBody(deletedKey, deletedAtRevision)));
        }
        return transaction(operations);
    }

    /** Asks in one transaction, by prefix, for the number of keys and for those changed since a revision. */
    public static RegistryRequest missedChanges(List<String> prefixes, List<Long> sinceRevisions) {
        JsonArray operations = new JsonArray();
        for (int i = 0; i < prefixes.size(); i++) {
            JsonObject changed = rangeBody(prefixes.get(i), "", 0, 0);
            addNumber(changed, "min_mod_revision", sinceRevisions.get(i) + 1);
            operations.add(count(prefixes.get(i), 0));
            operations.add(operation(changed));
        }
        return transaction(operations);
    }

    private static JsonObject count(String prefix, long revision) {
        JsonObject range = rangeBody(prefix, "", revision, 0);
        range.addProperty("count_only", true);
        return operation(range);
    }

    private static JsonObject operation(JsonObject range) {
        JsonObject operation = new JsonObject();
        operation.add(REQUEST_RANGE, range);
        return operation;
    }

    private static RegistryRequest transaction(JsonArray operations) {
        JsonObject transaction = new JsonObject();
        transaction.add("success", operations);
        return post(TRANSACTION_PATH, transaction.toString());
    }

    /**
     * Opens one stream with a watch for each prefix, from these revisions on; the watches' ids count from one.
     * The gateway takes all messages of the stream from the one body.
     */
    public static RegistryRequest watch(List<String> prefixes, List<Long> fromRevisions) {
        StringBuilder messages = new StringBuilder();
        for (int i = 0; i < prefixes.size(); i++) {
            JsonObject watch = new JsonObject();
            watch.addProperty("key", base64(prefixes.get(i)));
            watch.addProperty("range_end", rangeEnd(prefixes.get(i)));
            addNumber(watch, "start_revision", fromRevisions.get(i));
            watch.addProperty("progress_notify", true);
            watch.addProperty("fragment", true);
            addNumber(watch, "watch_id", i + 1);
            JsonObject message = new JsonObject();
            message.add("create_request", watch);
            messages.append(message).append('\n');
        }
        return post("/v3/watch", messages.toString());
    }

    /** Writes a key; lease 0: it stays until it is deleted. */
    public static RegistryRequest put(String key, String value, long lease) {
        return post("/v3/kv/put", putBody(key, value, lease).toString());
    }

    private static JsonObject putBody(String key, String value, long lease) {
        JsonObject body = new JsonObject();
        body.addProperty("key", base64(key));
        body.addProperty("value", base64(value));
        addNumber(body, "lease", lease);
        return body;
    }

    /** Writes a key under its lease, only if its last change is still that of the revision. */
    public static RegistryRequest compareAndSwap(String key, String value, long revision) {
        JsonObject put = putBody(key, value, 0);
        put.addProperty("ignore_lease", true);
        return post(
                TRANSACTION_PATH,
                "{\"compare\":[{\"key\":\"" + base64(key)
                        + "\",\"target\":\"MOD\",\"result\":\"EQUAL\",\"mod_revision\":\"" + revision
                        + "\"}],\"success\":[{\"request_put\":" + put + "}]}");
    }

    /** Deletes a key. */
    public static RegistryRequest delete(String key) {
        return post("/v3/kv/deleterange", "{\"key\":\"" + base64(key) + "\"}");
    }

    /** Asks for a lease that ends by itself after so many seconds. */
    public static RegistryRequest grantLease(long seconds) {
        return post("/v3/lease/grant", "{\"TTL\":\"" + seconds + "\"}");
    }

    /** Has a lease last for its full length again. */
    public static RegistryRequest keepLeaseAlive(long lease) {
        return post("/v3/lease/keepalive", leaseBody(lease));
    }

    /** Ends a lease, and deletes the keys under it. */
    public static RegistryRequest revokeLease(long lease) {
        return post("/v3/lease/revoke", leaseBody(lease));
    }

    private static String leaseBody(long lease) {
        return "{\"ID\":\"" + lease + "\"}";
    }

    private static RegistryRequest post(String path, String body) {
        return new RegistryRequest("POST", path, body);
    }
}
