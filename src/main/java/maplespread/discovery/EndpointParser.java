package maplespread.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;

/** Reads discovery's objects. */
public final class EndpointParser {
    /** An object that is not one of discovery's. */
    public static final class MalformedListException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedListException(String message) {
            super(message);
        }
    }

    private final List<String> zones;
    private final List<String> kinds;

    /** With the settings' names, whose places in the lists the routes carry. */
    public EndpointParser(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    public EndpointUpdate parse(String text) throws MalformedListException {
        try {
            return parse(JsonParser.parseString(text).getAsJsonObject());
        } catch (RuntimeException e) { // Gson has several for what is malformed
            throw new MalformedListException("not a JSON object");
        }
    }

    public EndpointUpdate parse(JsonObject o) throws MalformedListException {
        try {
            List<Endpoint> routes = new ArrayList<>();
            for (JsonElement e : o.getAsJsonArray("instances")) {
                routes.add(parseEndpoint(e.getAsJsonObject()));
            }
            boolean whole = o.has("reset") && o.get("reset").getAsBoolean();
            return new EndpointUpdate(
                    whole ? EndpointUpdate.Kind.FULL_SNAPSHOT : EndpointUpdate.Kind.DELTA,
                    o.get("generation").getAsLong(),
                    routes);
        } catch (RuntimeException e) {
            throw new MalformedListException("not a route set: " + e.getMessage());
        }
    }

    /** One worker; any runtime exception: it cannot be read. */
    public Endpoint parseEndpoint(JsonObject o) {
        String address = o.get("hostPort").getAsString();
        parseAddress(address);
        Endpoint.State state = lifecycle(o.get("lifecycle").getAsString());
        return new Endpoint(
                o.get("instanceId").getAsString(),
                address,
                state,
                o.has("weight") ? o.get("weight").getAsDouble() : 1,
                place(kinds, o, "machineType"),
                o.has("cell") ? o.get("cell").getAsInt() : 0,
                place(zones, o, "zone"),
                o.has("startedAtMs") ? o.get("startedAtMs").getAsDouble() : 0);
    }

    /** Operators know an unknown lifecycle by this text, whatever the enum's name is here. */
    private static Endpoint.State lifecycle(String text) {
        try {
            return Endpoint.State.valueOf(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("No enum constant maplespread.facade.Route.State." + text);
        }
    }

    private static int place(List<String> names, JsonObject o, String key) {
        return o.has(key) ? names.indexOf(o.get(key).getAsString()) : -1;
    }

    /** A numeric address with its port; names are not looked up. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[[0-9A-Fa-f:.]+]")) {
            throw new IllegalArgumentException("not a numeric address: " + text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an address: " + text);
        }
    }
}
