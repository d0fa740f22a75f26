package maplespread.registry.wire;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import maplespread.registry.RegistryEntry;

/**
 * Reads the answers of Consul's HTTP API. Each method throws {@link RegistryProtocolException} where the text is
 * not the answer that it reads.
 */
public final class ConsulResponses {
    private static final List<String> SERVING_STATUSES = List.of("passing", "warning");
    private static final String MODIFY_INDEX = "ModifyIndex";

    /** An instance's revision is its latest index times this, and the number of its checks below this. */
    private static final int CHECK_COUNTS = 64;

    private ConsulResponses() {}

    /** Reads a list of keys; an empty body, as it comes with status 404, holds none. */
    public static List<RegistryEntry> keys(String body) throws RegistryProtocolException {
        try {
            List<RegistryEntry> entries = new ArrayList<>();
            if (body.isBlank()) {
                return entries;
            }
            // Read without a tree: the list comes whole at each change, and most of it has not changed.
            JsonReader reader = new JsonReader(new StringReader(body));
            reader.beginArray();
            while (reader.hasNext()) {
                entries.add(key(reader));
            }
            reader.endArray();
            return entries;
        } catch (IOException | RuntimeException e) {
            throw new RegistryProtocolException("not a list of keys", e);
        }
    }

    private static RegistryEntry key(JsonReader reader) throws IOException {
        String key = null;
        String value = "";
        long index = -1;
        reader.beginObject();
        while (reader.hasNext()) {
            switch (reader.nextName()) {
                case "Key" -> key = reader.nextString();
                case MODIFY_INDEX -> index = reader.nextLong();
                case "Value" -> value = valueOrEmpty(reader);
                default -> reader.skipValue();
            }
        }
        reader.endObject();
        if (key == null || index < 0) {
            throw new IllegalArgumentException("a key without its Key or ModifyIndex");
        }
        String base64 = value;
        return RegistryEntry.lazy(
                key,
                index,
                base64.hashCode(),
                () -> new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8));
    }

    private static String valueOrEmpty(JsonReader reader) throws IOException {
        if (reader.peek() != JsonToken.NULL) {
            return reader.nextString();
        }
        reader.nextNull();
        return "";
    }

    /**
     * Reads the instances of a service. They have several indexes, of the node, the service and each check: the
     * latest is the entry's, and the number of its checks is part of it, since a check that is removed leaves no
     * index behind.
     */
    public static List<RegistryEntry> health(String body) throws RegistryProtocolException {
        try {
            List<RegistryEntry> entries = new ArrayList<>();
            for (JsonElement instance : array(body)) {
                entries.add(instance(instance.getAsJsonObject()));
            }
            return entries;
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a list of instances", e);
        }
    }

    private static RegistryEntry instance(JsonObject instance) {
        JsonObject service = instance.getAsJsonObject("Service");
        JsonObject node = instance.getAsJsonObject("Node");
        JsonArray checks = instance.has("Checks") ? instance.getAsJsonArray("Checks") : new JsonArray();
        long latest = Math.max(index(service), index(node));
        for (JsonElement check : checks) {
            latest = Math.max(latest, index(check.getAsJsonObject()));
        }
        String key = service.get("Service").getAsString()
                + '/'
                + node.get("Node").getAsString()
                + '/'
                + service.get("ID").getAsString();
        long revision = latest * CHECK_COUNTS + Math.min(CHECK_COUNTS - 1, checks.size());
        return RegistryEntry.lazy(key, revision, 0, () -> value(service, node, checks));
    }

    /**
     * An instance in discovery's form. Maintenance mode and a critical check are a drain: no new request, and
     * what is in flight is finished. A warning still serves, as with Consul's own DNS.
     */
    private static String value(JsonObject service, JsonObject node, JsonArray checks) {
        JsonObject value = new JsonObject();
        value.addProperty("instanceId", service.get("ID").getAsString());
        String host = service.has("Address") ? service.get("Address").getAsString() : "";
        value.addProperty(
                "hostPort",
                (host.isEmpty() ? node.get("Address").getAsString() : host)
                        + ':'
                        + service.get("Port").getAsInt());
        boolean serving = true;
        for (JsonElement check : checks) {
            serving &= SERVING_STATUSES.contains(
                    check.getAsJsonObject().get("Status").getAsString());
        }
        value.addProperty("lifecycle", serving ? "SERVING" : "DRAINING");
        if (service.has("Weights") && service.get("Weights").isJsonObject()) {
            value.addProperty(
                    "weight", service.getAsJsonObject("Weights").get("Passing").getAsDouble());
        }
        if (service.has("Meta") && service.get("Meta").isJsonObject()) {
            JsonObject meta = service.getAsJsonObject("Meta");
            for (String name : ConsulRequests.META_MEMBERS) {
                if (meta.has(name)) {
                    value.add(name, meta.get(name));
                }
            }
        }
        return value.toString();
    }

    private static long index(JsonObject object) {
        return object.has(MODIFY_INDEX) ? object.get(MODIFY_INDEX).getAsLong() : 0;
    }

    private static JsonArray array(String body) {
        return body.isBlank() ? new JsonArray() : JsonParser.parseString(body).getAsJsonArray();
    }

    /** Reads the id of a session created. */
    public static String session(String body) throws RegistryProtocolException {
        try {
            return JsonParser.parseString(body).getAsJsonObject().get("ID").getAsString();
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a session", e);
        }
    }
}
