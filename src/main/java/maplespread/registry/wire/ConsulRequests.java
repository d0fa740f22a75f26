package maplespread.registry.wire;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Requests to Consul's HTTP API. */
public final class ConsulRequests {
    /** Members of a worker's value that a service's instance carries as metadata. */
    static final List<String> META_MEMBERS = List.of("zone", "machineType", "cell", "startedAtMs");

    private static final String KEY_PATH = "/v1/kv/";

    private ConsulRequests() {}

    /** Reads all keys under a prefix, once the index is above this one (0: at once). */
    public static RegistryRequest keys(String prefix, long index, long waitMs, boolean consistent) {
        return get(KEY_PATH + encoded(prefix) + "?recurse=true" + blocking(index, waitMs, consistent));
    }

    /** Reads all instances of a service, failing ones too, once the index is above this one (0: at once). */
    public static RegistryRequest health(String service, long index, long waitMs, boolean consistent) {
        String blocking = blocking(index, waitMs, consistent);
        String query = blocking.isEmpty() ? "" : "?" + blocking.substring(1);
        return get("/v1/health/service/" + encoded(service) + query);
    }

    private static String blocking(long index, long waitMs, boolean consistent) {
        return (index > 0 ? "&index=" + index + "&wait=" + waitMs + "ms" : "") + (consistent ? "&consistent" : "");
    }

    /** Reads one key. */
    public static RegistryRequest key(String key) {
        return get(KEY_PATH + encoded(key));
    }

    /** Writes a key. {@code session}: under which it is written; empty: under none. */
    public static RegistryRequest put(String key, String value, String session) {
        return put(KEY_PATH + encoded(key) + (session.isEmpty() ? "" : "?acquire=" + session), value);
    }

    /** Writes a key, only if it was last changed at the index. */
    public static RegistryRequest compareAndSwap(String key, String value, long index) {
        return put(KEY_PATH + encoded(key) + "?cas=" + index, value);
    }

    /** Deletes a key. */
    public static RegistryRequest delete(String key) {
        return new RegistryRequest("DELETE", KEY_PATH + encoded(key), "");
    }

    /** Asks for a session whose keys are deleted when it ends, by itself after so many seconds. */
    public static RegistryRequest createSession(long seconds) {
        return put("/v1/session/create", "{\"TTL\":\"" + seconds + "s\",\"Behavior\":\"delete\",\"LockDelay\":\"0s\"}");
    }

    /** Has a session last for its full length again. */
    public static RegistryRequest renewSession(String session) {
        return put("/v1/session/renew/" + encoded(session), "");
    }

    /** Ends a session, and deletes its keys. */
    public static RegistryRequest destroySession(String session) {
        return put("/v1/session/destroy/" + encoded(session), "");
    }

    /** Turns the maintenance mode of a service's instance on or off at its agent: on is a drain. */
    public static RegistryRequest maintenance(String instance, boolean on) {
        return put("/v1/agent/service/maintenance/" + encoded(instance) + "?enable=" + on + "&reason=drain", "");
    }

    /** Registers an instance at the agent; {@code ttlSeconds} 0: without a check. */
    public static RegistryRequest register(String service, String instance, String value, long ttlSeconds) {
        JsonObject worker = JsonParser.parseString(value).getAsJsonObject();
        String address = worker.get("hostPort").getAsString();
        int colon = address.lastIndexOf(':');
        JsonObject registration = new JsonObject();
        registration.addProperty("ID", instance);
        registration.addProperty("Name", service);
        registration.addProperty("Address", address.substring(0, colon));
        registration.addProperty("Port", Integer.parseInt(address.substring(colon + 1)));
        JsonObject meta = new JsonObject();
        for (String name : META_MEMBERS) {
            if (worker.has(name)) {
                meta.addProperty(name, worker.get(name).getAsString());
            }
        }
        registration.add("Meta", meta);
        if (ttlSeconds > 0) {
            registration.add(
                    "Check",
                    JsonParser.parseString("{\"TTL\":\"" + ttlSeconds + "s\",\"Status\":\"passing\","
                            + "\"DeregisterCriticalServiceAfter\":\"1m\"}"));
        }
        return put("/v1/agent/service/register", registration.toString());
    }

    /** Removes an instance from the agent. */
    public static RegistryRequest deregister(String instance) {
        return put("/v1/agent/service/deregister/" + encoded(instance), "");
    }

    /** Reports that an instance's check passes. */
    public static RegistryRequest passCheck(String instance) {
        return put("/v1/agent/check/pass/" + encoded("service:" + instance), "");
    }

    private static RegistryRequest get(String target) {
        return new RegistryRequest("GET", target, "");
    }

    private static RegistryRequest put(String target, String body) {
        return new RegistryRequest("PUT", target, body);
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8)
                .replace("+", "%20")
                .replace("%2F", "/");
    }
}
