package maplespread.partition.client;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import maplespread.caller.RequestSequencer;
import maplespread.caller.RequestSequencer.FinalResponse;
import maplespread.worker.PeerForwarder;

/** The responses that ordered dispatch itself sends to clients. Stateless except for the limit on advised delays. */
final class OrderResponses {
    /** Advised retry delay if the request's queue has to shrink first. */
    static final double QUEUE_RETRY_MS = 250;
    /** Advised retry delay if another member may be able to serve the request at once. */
    static final double MOVED_RETRY_MS = 100;

    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final String RETRY_AFTER = "Retry-After";
    /** Header fields of an owner's response that are passed on to the client. */
    private static final List<String> FORWARDED_HEADERS =
            List.of(RequestSequencer.ORDER_REASON_HEADER, RETRY_AFTER, "Allow");

    private final DoubleSupplier maxRetryAfterMs;

    /** {@code maxRetryAfterMs} supplies the longest retry delay that clients may be advised; with 0 none is advised. */
    OrderResponses(DoubleSupplier maxRetryAfterMs) {
        this.maxRetryAfterMs = maxRetryAfterMs;
    }

    /** The response for a forwarded request that this member did not accept; the forwarding member decides it again. */
    FinalResponse moved() {
        return rejected(OrderReason.MOVED, MOVED_RETRY_MS, false);
    }

    /** {@code idConsumed} is false if the same request may be sent again under its id. */
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

    /** The response for a request that was sent to its owner and not answered. */
    static FinalResponse lostAtOwner() {
        return response(
                BAD_GATEWAY,
                List.<String[]>of(reasonField(OrderReason.IN_DOUBT)),
                "handed on, and not heard of again: it may have run",
                true);
    }

    /** The owner's response, reduced to the header fields that are passed on to the client. */
    static FinalResponse fromOwner(PeerForwarder.Result result) {
        List<String[]> fields = new ArrayList<>();
        for (String name : FORWARDED_HEADERS) {
            String value = field(result, name);
            if (value != null) {
                fields.add(new String[] {name, value});
            }
        }
        return new FinalResponse(result.httpStatus(), fields, result.body(), true, result.memory());
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
        return new FinalResponse(status, fields, (text + "\n").getBytes(StandardCharsets.UTF_8), idConsumed, null);
    }
}
