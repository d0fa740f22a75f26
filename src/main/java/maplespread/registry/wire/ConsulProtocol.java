package maplespread.registry.wire;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import maplespread.registry.RegistryEntry;

/** Consul's HTTP API: blocking questions for recursive keys, and for the health of a service's instances. */
public final class ConsulProtocol {
    private ConsulProtocol() {}

    // ------------------------------------------------------------ requests

    /** All keys under a prefix, once the index is above this one (0: at once). */
    public static RegistryRequest keys(String prefix, long index, long waitMs, boolean consistent) {
        return new RegistryRequest(
                "GET", "/v1/kv/" + path(prefix) + "?recurse=true" + block(index, waitMs, consistent), "");
    }

    /** All instances of a service, failing ones too. */
    public static RegistryRequest health(String service, long index, long waitMs, boolean consistent) {
        String block = block(index, waitMs, consistent);
        return new RegistryRequest(
                "GET", "/v1/health/service/" + path(service) + (block.isEmpty() ? "" : "?" + block.substring(1)), "");
    }

    private static String block(long index, long waitMs, boolean consistent) {
        return (index > 0 ? "&index=" + index + "&wait=" + waitMs + "ms" : "") + (consistent ? "&consistent" : "");
    }

    public static RegistryRequest get(String key) {
        return new RegistryRequest("GET", "/v1/kv/" + path(key), "");
    }

    /** {@code swapAt}: only if the key was last changed at this index; below 0: in any case. */
    public static RegistryRequest put(String key, String value, long swapAt, String session) {
        String how = swapAt >= 0 ? "?cas=" + swapAt : session.isEmpty() ? "" : "?acquire=" + session;
        return new RegistryRequest("PUT", "/v1/kv/" + path(key) + how, value);
    }

    public static RegistryRequest delete(String key) {
        return new RegistryRequest("DELETE", "/v1/kv/" + path(key), "");
    }

    /** A session whose keys are deleted when it ends. */
    public static RegistryRequest session(long seconds) {
        return new RegistryRequest(
                "PUT",
                "/v1/session/create",
                "{\"TTL\":\"" + seconds + "s\",\"Behavior\":\"delete\",\"LockDelay\":\"0s\"}");
    }

    public static RegistryRequest renew(String session) {
        return new RegistryRequest("PUT", "/v1/session/renew/" + path(session), "");
    }

    public static RegistryRequest destroy(String session) {
        return new RegistryRequest("PUT", "/v1/session/destroy/" + path(session), "");
    }

    /** Maintenance mode of a service's instance at its agent: a drain. */
    public static RegistryRequest maintenance(String instance, boolean on) {
        return new RegistryRequest(
                "PUT", "/v1/agent/service/maintenance/" + path(instance) + "?enable=" + on + "&reason=drain", "");
    }

    /** Registers an instance at the agent, in discovery's members. */
    public static RegistryRequest register(String service, String instance, String value, long ttlSeconds) {
        JsonObject in = JsonParser.parseString(value).getAsJsonObject();
        String address = in.get("hostPort").getAsString();
        JsonObject o = new JsonObject();
        o.addProperty("ID", instance);
        o.addProperty("Name", service);
        o.addProperty("Address", address.substring(0, address.lastIndexOf(':')));
        o.addProperty("Port", Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
        JsonObject meta = new JsonObject();
        for (String name : List.of("zone", "machineType", "cell", "startedAtMs")) {
            if (in.has(name)) {
                meta.addProperty(name, in.get(name).getAsString());
            }
        }
        o.add("Meta", meta);
        if (ttlSeconds > 0) {
            o.add(
                    "Check",
                    JsonParser.parseString("{\"TTL\":\"" + ttlSeconds + "s\",\"Status\":\"passing\","
                            + "\"DeregisterCriticalServiceAfter\":\"1m\"}"));
        }
        return new RegistryRequest("PUT", "/v1/agent/service/register", o.toString());
    }

    public static RegistryRequest deregister(String instance) {
        return new RegistryRequest("PUT", "/v1/agent/service/deregister/" + path(instance), "");
    }

    public static RegistryRequest pass(String instance) {
        return new RegistryRequest("PUT", "/v1/agent/check/pass/" + path("service:" + instance), "");
    }

    private static String path(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8)
                .replace("+", "%20")
                .replace("%2F", "/");
    }

    // ------------------------------------------------------------ answers

    /** The keys of an answer; 404 with an empty body holds none. */
    public static List<RegistryEntry> keys(String body) throws RegistryProtocolException {
        try {
            List<RegistryEntry> items = new ArrayList<>();
            if (body.isBlank()) {
                return items;
            }
            // Read without a tree: the list comes whole at each change, and most of it is old news.
            JsonReader in = new JsonReader(new StringReader(body));
            in.beginArray();
            while (in.hasNext()) {
                items.add(key(in));
            }
            in.endArray();
            return items;
        } catch (IOException | RuntimeException e) {
            throw new RegistryProtocolException("not a list of keys", e);
        }
    }

    private static RegistryEntry key(JsonReader in) throws IOException {
        String key = null;
        String value = null;
        long index = -1;
        in.beginObject();
        while (in.hasNext()) {
            switch (in.nextName()) {
                case "Key" -> key = in.nextString();
                case "ModifyIndex" -> index = in.nextLong();
                case "Value" -> {
                    if (in.peek() == JsonToken.NULL) {
                        in.nextNull(); // a key without a value
                    } else {
                        value = in.nextString();
                    }
                }
                default -> in.skipValue();
            }
        }
        in.endObject();
        if (key == null || index < 0) {
            throw new IllegalArgumentException("a key without its Key or ModifyIndex");
        }
        String coded = value == null ? "" : value;
        return RegistryEntry.lazy(
                key,
                index,
                coded.hashCode(),
                () -> new String(Base64.getDecoder().decode(coded), StandardCharsets.UTF_8));
    }

    /**
     * The instances of an answer. Its entries have several indexes, of the node, the service and each check:
     * the latest is the entry's, and the number of its checks is part of it, since a check that is removed
     * leaves no index behind.
     */
    public static List<RegistryEntry> health(String body) throws RegistryProtocolException {
        try {
            List<RegistryEntry> items = new ArrayList<>();
            for (JsonElement e : array(body)) {
                JsonObject o = e.getAsJsonObject();
                JsonObject service = o.getAsJsonObject("Service");
                JsonObject node = o.getAsJsonObject("Node");
                JsonArray checks = o.has("Checks") ? o.getAsJsonArray("Checks") : new JsonArray();
                long latest = Math.max(index(service), index(node));
                for (JsonElement check : checks) {
                    latest = Math.max(latest, index(check.getAsJsonObject()));
                }
                String key = service.get("Service").getAsString()
                        + '/'
                        + node.get("Node").getAsString()
                        + '/'
                        + service.get("ID").getAsString();
                items.add(RegistryEntry.lazy(
                        key, latest * 64 + Math.min(63, checks.size()), 0, () -> instance(service, node, checks)));
            }
            return items;
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a list of instances", e);
        }
    }

    /**
     * In discovery's form. Maintenance mode and a critical check are a drain: nothing new, and what is held
     * is finished. A warning still serves, as with Consul's own DNS.
     */
    private static String instance(JsonObject service, JsonObject node, JsonArray checks) {
        JsonObject o = new JsonObject();
        o.addProperty("instanceId", service.get("ID").getAsString());
        String host = service.has("Address") ? service.get("Address").getAsString() : "";
        o.addProperty(
                "hostPort",
                (host.isEmpty() ? node.get("Address").getAsString() : host)
                        + ':'
                        + service.get("Port").getAsInt());
        boolean serving = true;
        for (JsonElement check : checks) {
            serving &= List.of("passing", "warning")
                    .contains(check.getAsJsonObject().get("Status").getAsString());
        }
        o.addProperty("lifecycle", serving ? "SERVING" : "DRAINING");
        if (service.has("Weights") && service.get("Weights").isJsonObject()) {
            o.addProperty(
                    "weight", service.getAsJsonObject("Weights").get("Passing").getAsDouble());
        }
        if (service.has("Meta") && service.get("Meta").isJsonObject()) {
            JsonObject meta = service.getAsJsonObject("Meta");
            for (String name : List.of("zone", "machineType", "cell", "startedAtMs")) {
                if (meta.has(name)) {
                    o.add(name, meta.get(name));
                }
            }
        }
        return o.toString();
    }

    private static long index(JsonObject o) {
        return o.has("ModifyIndex") ? o.get("ModifyIndex").getAsLong() : 0;
    }

    private static JsonArray array(String body) {
        return body.isBlank() ? new JsonArray() : JsonParser.parseString(body).getAsJsonArray();
    }

    /** The id of a session created. */
    public static String session(String body) throws RegistryProtocolException {
        try {
            return JsonParser.parseString(body).getAsJsonObject().get("ID").getAsString();
        } catch (RuntimeException e) {
            throw new RegistryProtocolException("not a session", e);
        }
    }
}
