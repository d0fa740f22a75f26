package maplespread.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;

/** Parses discovery's JSON objects: endpoint lists and single endpoints. Thread-safe. */
public final class EndpointParser {
    /** Thrown for a text that is not one of discovery's endpoint lists. */
    public static final class MalformedListException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedListException(String message) {
            super(message);
        }
    }

    private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9.]+|\\[[0-9A-Fa-f:.]+]");

    private final List<String> zones;
    private final List<String> kinds;

    /**
     * Creates a parser that maps names to their indexes in these lists.
     *
     * @param zones zone names, in the order of the settings
     * @param kinds machine kinds, in the order of the settings
     */
    public EndpointParser(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Parses the text of an endpoint list. */
    public EndpointUpdate parse(String text) throws MalformedListException {
        try {
            return parse(JsonParser.parseString(text).getAsJsonObject());
        } catch (RuntimeException e) { // Gson throws several types for malformed text
            throw new MalformedListException("not a JSON object");
        }
    }

    /** Parses an endpoint list: a full snapshot if {@code reset} is true, else a delta. */
    public EndpointUpdate parse(JsonObject list) throws MalformedListException {
        try {
            List<Endpoint> endpoints = new ArrayList<>();
            for (JsonElement instance : list.getAsJsonArray("instances")) {
                endpoints.add(parseEndpoint(instance.getAsJsonObject()));
            }
            boolean reset = list.has("reset") && list.get("reset").getAsBoolean();
            return new EndpointUpdate(
                    reset ? EndpointUpdate.Kind.FULL_SNAPSHOT : EndpointUpdate.Kind.DELTA,
                    list.get("generation").getAsLong(),
                    endpoints);
        } catch (RuntimeException e) {
            throw new MalformedListException("not a route set: " + e.getMessage());
        }
    }

    /** Parses one endpoint; throws a runtime exception of any type, whose message gives the cause, if malformed. */
    public Endpoint parseEndpoint(JsonObject instance) {
        String address = instance.get("hostPort").getAsString();
        parseAddress(address);
        Endpoint.State state = parseState(instance.get("lifecycle").getAsString());
        return new Endpoint(
                instance.get("instanceId").getAsString(),
                address,
                state,
                instance.has("weight") ? instance.get("weight").getAsDouble() : 1,
                indexOfProperty(kinds, instance, "machineType"),
                instance.has("cell") ? instance.get("cell").getAsInt() : 0,
                indexOfProperty(zones, instance, "zone"),
                instance.has("startedAtMs") ? instance.get("startedAtMs").getAsDouble() : 0);
    }

    private static Endpoint.State parseState(String lifecycle) {
        try {
            return Endpoint.State.valueOf(lifecycle);
        } catch (IllegalArgumentException e) {
            // Operators know this text, so it keeps the old name of the type.
            throw new IllegalArgumentException("No enum constant maplespread.facade.Route.State." + lifecycle);
        }
    }

    /** Returns the index of the property's value in the names; -1 if it is missing or not in the settings. */
    private static int indexOfProperty(List<String> names, JsonObject instance, String property) {
        return instance.has(property) ? names.indexOf(instance.get(property).getAsString()) : -1;
    }

    /**
     * Parses a numeric address with its port; host names are not looked up.
     *
     * @throws IllegalArgumentException with the text, if it is not such an address
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!NUMERIC_HOST.matcher(host).matches()) {
            throw new IllegalArgumentException("not a numeric address: " + text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an address: " + text);
        }
    }
}
