package maplespread.registry.wire;

import static maplespread.registry.wire.EtcdJson.flag;
import static maplespread.registry.wire.EtcdJson.number;
import static maplespread.registry.wire.EtcdJson.object;
import static maplespread.registry.wire.EtcdJson.text;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import maplespread.registry.RegistryCall;
import maplespread.registry.RegistryEntry;
import maplespread.registry.Revision;

/**
 * Reads the answers of etcd v3's JSON gateway. Each method throws {@link RegistryProtocolException} where the
 * text is not the answer that it reads.
 */
public final class EtcdResponses {
    private static final int STATUS_UNAUTHORIZED = 401;
    private static final int STATUS_FORBIDDEN = 403;
    private static final String ENTRIES = "kvs";

    /** The answer to a range. {@code more}: keys are left behind the last one. */
    public record RangeResponse(Revision revision, List<RegistryEntry> entries, boolean more) {}

    /** By prefix the number of keys and the entry asked for (null: it is not there). */
    public record HistoryResponse(
            Revision revision, List<Long> counts, List<RegistryEntry> found, boolean deletedKeyFound) {}

    /** By prefix the number of keys and the entries that have changed. */
    public record MissedChangesResponse(Revision revision, List<Long> counts, List<List<RegistryEntry>> changed) {}

    /** One line of a watch's stream. {@code watchId}: as the request gave it. */
    public record WatchResponse(
            Revision revision,
            long watchId,
            boolean created,
            boolean canceled,
            long compactRevision,
            String cancelReason,
            boolean fragment,
            List<RegistryEntry> entries) {}

    /** What an answer with a status other than 200 means. */
    public enum ErrorKind {
        /** The revision asked for has been compacted away. */
        COMPACTED,
        /** The revision asked for lies ahead of the server. */
        AHEAD,
        /** The token is refused. */
        DENIED,
        /** Anything else. */
        OTHER
    }

    private EtcdResponses() {}

    /** Reads the answer to {@link EtcdRequests#range}. */
    public static RangeResponse range(String body) throws RegistryProtocolException {
        try {
            JsonObject response = object(body);
            return new RangeResponse(revision(response), entries(response), flag(response, "more"));
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a range's answer", e);
        }
    }

    /** Reads the answer to {@link EtcdRequests#verifyHistory}; {@code deletedKey}: one was asked for. */
    public static HistoryResponse history(String body, List<RegistryCall.HistoryProof> proofs, boolean deletedKey)
            throws RegistryProtocolException {
        try {
            JsonObject response = object(body);
            List<RegistryEntry> found = new ArrayList<>();
            List<Long> counts = new ArrayList<>();
            JsonArray responses = response.getAsJsonArray("responses");
            int next = 0;
            for (RegistryCall.HistoryProof proof : proofs) {
                counts.add(number(rangeResponse(responses, next++), "count"));
                List<RegistryEntry> entries =
                        proof.key() == null ? List.of() : entries(rangeResponse(responses, next++));
                found.add(entries.isEmpty() ? null : entries.get(0));
            }
            boolean deletedKeyFound =
                    deletedKey && !entries(rangeResponse(responses, next)).isEmpty();
            return new HistoryResponse(revision(response), counts, found, deletedKeyFound);
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a check's answer", e);
        }
    }

    /** Reads the answer to {@link EtcdRequests#missedChanges}. */
    public static MissedChangesResponse missedChanges(String body) throws RegistryProtocolException {
        try {
            JsonObject response = object(body);
            List<Long> counts = new ArrayList<>();
            List<List<RegistryEntry>> changed = new ArrayList<>();
            JsonArray responses = response.getAsJsonArray("responses");
            for (int i = 0; i < responses.size(); i += 2) {
                counts.add(number(rangeResponse(responses, i), "count"));
                changed.add(entries(rangeResponse(responses, i + 1)));
            }
            return new MissedChangesResponse(revision(response), counts, changed);
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not an answer to what was missed", e);
        }
    }

    private static JsonObject rangeResponse(JsonArray responses, int index) {
        return responses.get(index).getAsJsonObject().getAsJsonObject("response_range");
    }

    /** Reads a line of the stream that {@link EtcdRequests#watch} opens. */
    public static WatchResponse watchLine(String line) throws RegistryProtocolException {
        try {
            JsonObject result = object(line).getAsJsonObject("result");
            List<RegistryEntry> entries = new ArrayList<>();
            if (result.has("events")) {
                for (JsonElement event : result.getAsJsonArray("events")) {
                    entries.add(changedEntry(event.getAsJsonObject()));
                }
            }
            return new WatchResponse(
                    revision(result),
                    number(result, "watch_id"),
                    flag(result, "created"),
                    flag(result, "canceled"),
                    number(result, "compact_revision"),
                    result.has("cancel_reason") ? result.get("cancel_reason").getAsString() : "",
                    flag(result, "fragment"),
                    entries);
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a watch's line", e);
        }
    }

    private static RegistryEntry changedEntry(JsonObject event) {
        JsonObject keyValue = event.getAsJsonObject("kv");
        boolean deleted = event.has("type") && event.get("type").getAsString().equals("DELETE");
        return deleted
                ? RegistryEntry.deleted(text(keyValue, "key"), number(keyValue, "mod_revision"))
                : entry(keyValue);
    }

    /** What an error means: the gateway's status says little, its message is etcd's own (rpctypes/error.go). */
    public static ErrorKind errorKind(int status, String body) {
        String message = errorMessage(body);
        if (message.contains("has been compacted")) {
            return ErrorKind.COMPACTED;
        }
        if (message.contains("is a future revision")) {
            return ErrorKind.AHEAD;
        }
        boolean denied = status == STATUS_UNAUTHORIZED
                || status == STATUS_FORBIDDEN
                || message.contains("permission denied")
                || message.contains("invalid auth token")
                || message.contains("user name is empty");
        return denied ? ErrorKind.DENIED : ErrorKind.OTHER;
    }

    private static String errorMessage(String body) {
        try {
            JsonObject error = object(body);
            return error.has("message")
                    ? error.get("message").getAsString()
                    : error.get("error").toString();
        } catch (RuntimeException e) {
            return body; // no JSON of etcd's: the raw text must do
        }
    }

    /** Reads the id of a lease granted. */
    public static long lease(String body) throws RegistryProtocolException {
        try {
            return number(object(body), "ID");
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a lease", e);
        }
    }

    /** Reads what is left to a lease, in seconds; 0: it has ended. */
    public static long remainingLeaseSeconds(String line) throws RegistryProtocolException {
        try {
            return number(object(line).getAsJsonObject("result"), "TTL");
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a lease's answer", e);
        }
    }

    /** Reads whether {@link EtcdRequests#compareAndSwap} has written. */
    public static boolean swapped(String body) throws RegistryProtocolException {
        try {
            return flag(object(body), "succeeded");
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a transaction's answer", e);
        }
    }

    // ------------------------------------------------------------ members

    private static Revision revision(JsonObject response) {
        JsonObject header = response.getAsJsonObject("header");
        return new Revision(
                header.get("cluster_id").getAsString(), number(header, "revision"), number(header, "raft_term"));
    }

    private static List<RegistryEntry> entries(JsonObject response) {
        List<RegistryEntry> entries = new ArrayList<>();
        if (response.has(ENTRIES)) {
            for (JsonElement keyValue : response.getAsJsonArray(ENTRIES)) {
                entries.add(entry(keyValue.getAsJsonObject()));
            }
        }
        return entries;
    }

    private static RegistryEntry entry(JsonObject keyValue) {
        int valueHash =
                keyValue.has("value") ? keyValue.get("value").getAsString().hashCode() : 0;
        return RegistryEntry.lazy(
                text(keyValue, "key"), number(keyValue, "mod_revision"), valueHash, () -> text(keyValue, "value"));
    }
}
