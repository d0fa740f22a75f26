package maplespread.admin;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;

/** The calls, by method and path such as {@code GET /admin/health}. */
public final class AdminRoutes {
    /** What a call brings: the query's parts, decoded, and the body. */
    public record AdminRequest(Map<String, String> query, String body) {
        /** Empty where the query has no such part. */
        public String query(String key) {
            return query.getOrDefault(key, "");
        }
    }

    /** What is said to a call; {@code allow}: the method that would do, for a 405. */
    public record AdminResponse(int status, String text, String allow) {
        public AdminResponse(int status, String text) {
            this(status, text, null);
        }
    }

    /** Answers one call, on a thread of its own; must not wait for longer than 2 s. */
    public interface Call {
        AdminResponse answer(AdminRequest ask);
    }

    private final Map<String, Call> table;

    public AdminRoutes(Map<String, Call> table) {
        this.table = Map.copyOf(table);
    }

    /** One that can be done or not, and says so. */
    public static Call yesOrNo(BooleanSupplier call, String yes, int status, String no) {
        return ask -> call.getAsBoolean() ? new AdminResponse(200, yes) : new AdminResponse(status, no);
    }

    /** Answers one call: 404 where there is none at that path, 405 where it wants another method. */
    public AdminResponse answer(String method, String target, String body) {
        int at = target.indexOf('?');
        String path = at < 0 ? target : target.substring(0, at);
        Call call = table.get(method + ' ' + path);
        if (call != null) {
            return call.answer(new AdminRequest(parts(at < 0 ? "" : target.substring(at + 1)), body));
        }
        TreeSet<String> allow = new TreeSet<>();
        for (String line : table.keySet()) {
            if (line.endsWith(' ' + path)) {
                allow.add(line.substring(0, line.indexOf(' ')));
            }
        }
        if (allow.isEmpty()) {
            return new AdminResponse(404, "no such call");
        }
        String words = String.join(", ", allow);
        return new AdminResponse(405, words + " only", words);
    }

    /** What cannot be decoded is taken as it stands: the calls say themselves what they cannot use. */
    private static Map<String, String> parts(String query) {
        Map<String, String> all = new TreeMap<>();
        for (String part : query.split("&")) {
            int is = part.indexOf('=');
            all.put(decoded(is < 0 ? part : part.substring(0, is)), is < 0 ? "" : decoded(part.substring(is + 1)));
        }
        return all;
    }

    private static String decoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }
}
