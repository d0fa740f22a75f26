package maplespread.console;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The calls by path and method. {@code health}: whether this process takes clients; {@code quiesce} and
 * {@code resume}: do it, and say whether that was possible. None may wait.
 */
public record Calls(BooleanSupplier health, Supplier<String> stats, BooleanSupplier quiesce,
                    BooleanSupplier resume) {
    /** What is said to a call; {@code allow}: the method that would do, for a 405. */
    record Reply(int status, String text, String allow) { }

    private static final Map<String, String> METHODS = Map.of("/admin/health", "GET", "/admin/stats", "GET",
        "/admin/quiesce", "POST", "/admin/resume", "POST");

    Reply answer(String method, String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        String wanted = METHODS.get(path);
        if (wanted == null) {
            return new Reply(404, "no such call", null);
        }
        if (!wanted.equals(method)) {
            return new Reply(405, wanted + " only", wanted);
        }
        return switch (path) {
            case "/admin/stats" -> new Reply(200, stats.get(), null);
            case "/admin/health" -> yes(health, "takes clients", 503, "takes no clients");
            case "/admin/quiesce" -> yes(quiesce, "drains; resume ends it", 409, "not in service");
            default -> yes(resume, "at work", 409, "not in service");
        };
    }

    private static Reply yes(BooleanSupplier call, String yes, int status, String no) {
        return call.getAsBoolean() ? new Reply(200, yes, null) : new Reply(status, no, null);
    }
}
