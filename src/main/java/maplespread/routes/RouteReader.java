package maplespread.routes;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.Route;

/** Reads discovery's objects. */
public final class RouteReader {
    /** An object that is not one of discovery's. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1;

        Malformed(String message) {
            super(message);
        }
    }

    private final List<String> zones;
    private final List<String> kinds;

    /** With the settings' names, whose places in the lists the routes carry. */
    public RouteReader(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    public EndpointUpdate read(String text) throws Malformed {
        try {
            return read(JsonParser.parseString(text).getAsJsonObject());
        } catch (RuntimeException e) { // Gson has several for what is malformed
            throw new Malformed("not a JSON object");
        }
    }

    public EndpointUpdate read(JsonObject o) throws Malformed {
        try {
            List<Route> routes = new ArrayList<>();
            for (JsonElement e : o.getAsJsonArray("instances")) {
                routes.add(route(e.getAsJsonObject()));
            }
            boolean whole = o.has("reset") && o.get("reset").getAsBoolean();
            return new EndpointUpdate(
                    whole ? EndpointUpdate.Kind.WHOLE : EndpointUpdate.Kind.CHANGES,
                    o.get("generation").getAsLong(),
                    routes);
        } catch (RuntimeException e) {
            throw new Malformed("not a route set: " + e.getMessage());
        }
    }

    /** One worker; any runtime exception: it cannot be read. */
    public Route route(JsonObject o) {
        String address = o.get("hostPort").getAsString();
        address(address);
        Route.State state = Route.State.valueOf(o.get("lifecycle").getAsString());
        return new Route(
                o.get("instanceId").getAsString(),
                address,
                state,
                o.has("weight") ? o.get("weight").getAsDouble() : 1,
                place(kinds, o, "machineType"),
                o.has("cell") ? o.get("cell").getAsInt() : 0,
                place(zones, o, "zone"),
                o.has("startedAtMs") ? o.get("startedAtMs").getAsDouble() : 0);
    }

    private static int place(List<String> names, JsonObject o, String key) {
        return o.has(key) ? names.indexOf(o.get(key).getAsString()) : -1;
    }

    /** A numeric address with its port; names are not looked up. */
    public static InetSocketAddress address(String text) {
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
