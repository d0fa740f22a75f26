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
    /** A text is not one of discovery's endpoint lists. */
    public static final class MalformedListException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedListException(String message) {
            super(message);
        }
    }

    private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9.]+|\\[[0-9A-Fa-f:.]+]");

    private final List<String> zones;
    private final List<String> kinds;

    /** With the settings' names of zones and machine kinds, whose numbers in the lists endpoints carry. */
    public EndpointParser(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Parses the text of an endpoint list. */
    public EndpointUpdate parse(String text) throws MalformedListException {
        try {
            return parse(JsonParser.parseString(text).getAsJsonObject());
        } catch (RuntimeException e) { // Gson has several for what is malformed
            throw new MalformedListException("not a JSON object");
        }
    }

    /** Parses an endpoint list: a full snapshot where it has {@code reset}, else a delta. */
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

    /** Parses one endpoint; any runtime exception: it cannot be read, its message says why. */
    public Endpoint parseEndpoint(JsonObject instance) {
        String address = instance.get("hostPort").getAsString();
        parseAddress(address);
        Endpoint.State state = parseState(instance.get("lifecycle").getAsString());
        return new Endpoint(
                instance.get("instanceId").getAsString(),
                address,
                state,
                instance.has("weight") ? instance.get("weight").getAsDouble() : 1,
                numberOf(kinds, instance, "machineType"),
                instance.has("cell") ? instance.get("cell").getAsInt() : 0,
                numberOf(zones, instance, "zone"),
                instance.has("startedAtMs") ? instance.get("startedAtMs").getAsDouble() : 0);
    }

    private static Endpoint.State parseState(String lifecycle) {
        try {
            return Endpoint.State.valueOf(lifecycle);
        } catch (IllegalArgumentException e) {
            // The text that operators have always read; it is not to change with the type's name.
            throw new IllegalArgumentException("No enum constant maplespread.facade.Route.State." + lifecycle);
        }
    }

    /** The number of the member's name; -1 where it is missing or not in the settings. */
    private static int numberOf(List<String> names, JsonObject instance, String member) {
        return instance.has(member) ? names.indexOf(instance.get(member).getAsString()) : -1;
    }

    /**
     * A numeric address with its port; names are not looked up. {@link IllegalArgumentException} with the text
     * where it is none.
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
