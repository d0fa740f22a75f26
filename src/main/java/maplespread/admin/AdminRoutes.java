package maplespread.admin;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;

/**
 * The admin calls, by method and path such as {@code GET /admin/health}. Immutable; each call is answered on the thread of its
 * connection.
 */
public final class AdminRoutes {
    /** What a call brings: the query's parameters, decoded, and the body. */
    public record AdminRequest(Map<String, String> query, String body) {
        /** Empty where the query has no such parameter. */
        public String query(String name) {
            return query.getOrDefault(name, "");
        }
    }

    /** The response to a call; {@code allow}: the methods that would do, for a 405, or null. */
    public record AdminResponse(int status, String text, String allow) {
        /** One that needs no Allow header. */
        public AdminResponse(int status, String text) {
            this(status, text, null);
        }
    }

    /** Answers one call, on a thread of its own; must not block for longer than 2 s. */
    public interface Call {
        /** The response; an exception ends the call without one. */
        AdminResponse answer(AdminRequest request);
    }

    private final Map<String, Call> calls;

    /** {@code calls}: by method, a blank, and path. */
    public AdminRoutes(Map<String, Call> calls) {
        this.calls = Map.copyOf(calls);
    }

    /** A call that succeeds with 200 and one text, or fails with {@code status} and another. */
    public static Call yesOrNo(BooleanSupplier action, String yes, int status, String no) {
        return request -> action.getAsBoolean() ? new AdminResponse(200, yes) : new AdminResponse(status, no);
    }

    /** Answers one call: 404 where there is none at that path, 405 where it wants another method. */
    public AdminResponse answer(String method, String target, String body) {
        int queryAt = target.indexOf('?');
        String path = queryAt < 0 ? target : target.substring(0, queryAt);
        Call call = calls.get(method + ' ' + path);
        if (call != null) {
            return call.answer(new AdminRequest(parameters(queryAt < 0 ? "" : target.substring(queryAt + 1)), body));
        }
        TreeSet<String> allowed = new TreeSet<>();
        for (String route : calls.keySet()) {
            if (route.endsWith(' ' + path)) {
                allowed.add(route.substring(0, route.indexOf(' ')));
            }
        }
        if (allowed.isEmpty()) {
            return new AdminResponse(404, "no such call");
        }
        String methods = String.join(", ", allowed);
        return new AdminResponse(405, methods + " only", methods);
    }

    /** What cannot be decoded is taken as it stands: the calls say themselves what they cannot use. */
    private static Map<String, String> parameters(String query) {
        Map<String, String> values = new TreeMap<>();
        for (String parameter : query.split("&")) {
            int equals = parameter.indexOf('=');
            String name = equals < 0 ? parameter : parameter.substring(0, equals);
            values.put(decoded(name), equals < 0 ? "" : decoded(parameter.substring(equals + 1)));
        }
        return values;
    }

    private static String decoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }
}
