package maplespread.partition.client;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import maplespread.caller.RequestSequencer;
import maplespread.caller.RequestSequencer.FinalResponse;
import maplespread.worker.PeerForwarder;

/** The responses that clients get from ordered dispatch itself. Stateless but for the limit on advised pauses. */
final class OrderResponses {
    /** Advised where the request's queue has to shrink first. */
    static final double QUEUE_RETRY_MS = 250;
    /** Advised where another member may be able to serve at once. */
    static final double MOVED_RETRY_MS = 100;

    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final String RETRY_AFTER = "Retry-After";
    private static final List<String> FORWARDED_HEADERS =
            List.of(RequestSequencer.ORDER_REASON_HEADER, RETRY_AFTER, "Allow");

    private final DoubleSupplier maxRetryAfterMs;

    /** {@code maxRetryAfterMs}: the longest pause that clients may be advised, 0: none is advised. */
    OrderResponses(DoubleSupplier maxRetryAfterMs) {
        this.maxRetryAfterMs = maxRetryAfterMs;
    }

    /** This member did not accept the request: whoever forwarded it decides anew. */
    FinalResponse moved() {
        return rejected(OrderReason.MOVED, MOVED_RETRY_MS, false);
    }

    /** {@code idConsumed}: false where the same request may come again under its id. */
    FinalResponse rejected(OrderReason reason, double retryAfterMs, boolean idConsumed) {
        List<String[]> fields = new ArrayList<>();
        fields.add(reasonField(reason));
        double advisedMs = Math.min(retryAfterMs, maxRetryAfterMs.getAsDouble());
        if (advisedMs > 0) {
            fields.add(new String[] {RETRY_AFTER, String.format(Locale.ROOT, "%.3f", advisedMs / 1000)});
        }
        return response(UNAVAILABLE, fields, reason.headerValue, idConsumed);
    }

    static FinalResponse missingAttribute(String attribute) {
        return response(BAD_REQUEST, List.of(), "it lacks " + attribute + ", by which it is ordered", true);
    }

    static FinalResponse keyStopped(String key) {
        return response(
                CONFLICT,
                List.<String[]>of(reasonField(OrderReason.STOPPED)),
                key + " is stopped until it is started",
                true);
    }

    /** The owner was sent the request and never answered. */
    static FinalResponse lostAtOwner() {
        return response(
                BAD_GATEWAY,
                List.<String[]>of(reasonField(OrderReason.IN_DOUBT)),
                "handed on, and not heard of again: it may have run",
                true);
    }

    /** The owner's response, with the header fields that its client is to see. */
    static FinalResponse fromOwner(PeerForwarder.Result result) {
        List<String[]> fields = new ArrayList<>();
        for (String name : FORWARDED_HEADERS) {
            String value = field(result, name);
            if (value != null) {
                fields.add(new String[] {name, value});
            }
        }
        return new FinalResponse(result.httpStatus(), fields, result.body(), true);
    }

    /** Whether the owner answered that it did not accept the request. */
    static boolean isMoved(PeerForwarder.Result result) {
        return result.httpStatus() == UNAVAILABLE
                && OrderReason.MOVED.headerValue.equals(field(result, RequestSequencer.ORDER_REASON_HEADER));
    }

    private static String field(PeerForwarder.Result result, String name) {
        return result.fields().stream()
                .filter(field -> field[0].equalsIgnoreCase(name))
                .map(field -> field[1])
                .findFirst()
                .orElse(null);
    }

    private static String[] reasonField(OrderReason reason) {
        return new String[] {RequestSequencer.ORDER_REASON_HEADER, reason.headerValue};
    }

    private static FinalResponse response(int status, List<String[]> fields, String text, boolean idConsumed) {
        return new FinalResponse(status, fields, (text + "\n").getBytes(StandardCharsets.UTF_8), idConsumed);
    }
}
