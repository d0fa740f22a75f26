package maplespread.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import maplespread.config.Config;
import maplespread.facade.InFlightRequest;
import maplespread.http.HttpException;
import maplespread.http.HttpHead;
import maplespread.policy.Idempotency;
import maplespread.worker.WorkerRequest;

/**
 * Validates a client's request and reads the values that decisions need. An invalid request fails with an
 * {@link HttpException} that holds the response's status, and reaches no worker. Only validated header fields are sent
 * on: a worker closes the connection on a head that it cannot parse, and may interpret a field differently than this
 * parser.
 */
final class ClientRequest {
    private static final long MAX_REMAINING_MS = 3_600_000;
    /** Time in microseconds reserved for the transit of a response, so that one at the deadline arrives in time. */
    private static final long RESPONSE_TRANSIT_US = 5_000;

    private static final int MAX_TARGET_CHARS = 2048;
    /** The header fields that a request keeps when it is forwarded to another dispatcher. */
    private static final List<String> FORWARDED_FIELDS =
            List.of("X-Lane", "X-Org", "X-Estimate", "X-Labels", "X-Entity", "Idempotency-Key");

    /** The names of all header fields that are read, in lower case. */
    static final Set<String> FIELD_NAMES = Set.of(
            "x-lane",
            "x-txn",
            "x-org",
            "x-remaining-ms",
            "x-estimate",
            "x-labels",
            "x-entity",
            "idempotency-key",
            RequestSequencer.FORWARDED_BY_HEADER.toLowerCase(Locale.ROOT));

    /** Memory in bytes that a label of a sequenced request takes, with its map entry. */
    private static final long BYTES_PER_LABEL = 128;

    /** The request as it is sent to a worker. */
    final WorkerRequest message;
    /** The request as the decision service sees it. */
    final InFlightRequest inFlight;

    private final Idempotency idempotency;
    private final HttpHead head;
    private final String tenant;
    /** The number of slots that the request occupies at a worker. */
    private double slots = 1;
    /** The number of memory units that the request occupies at a worker. */
    private double memory;

    private int labelCount;

    /**
     * Validates a request.
     *
     * @param lastByteUs the time at which the request's last byte arrived, on {@code DecisionService.nowUs}
     */
    ClientRequest(ServingContext context, HttpHead head, byte[] body, long lastByteUs) throws HttpException {
        this.head = head;
        Config config = context.config();
        int classIndex = checkClass(config);
        String requestClass = head.get("X-Lane");
        String requestId = required("X-Txn");
        if (!requestId.matches("[!-~]{1,128}")) {
            throw new HttpException(400, "malformed X-Txn");
        }
        int tenantIndex = checkTenant(config);
        tenant = config.names().tenants().isEmpty()
                ? null
                : config.names().tenants().get(tenantIndex);
        double waitMs = Math.min(
                checkRemainingMs(), config.settings().classes().get(classIndex).deadlineMs());
        double workMs = number(atMostOne("X-Estimate"), "X-Estimate", Double.NaN) / 1000;
        readLabels((name, value) -> {
            switch (name.toLowerCase(Locale.ROOT)) {
                case "slots", "coresneeded", "x1" -> slots = value;
                case "memory", "ramunits", "x2" -> memory = value;
                default -> {}
            }
        });
        String entity = atMostOne("X-Entity");
        idempotency = config.settings().classes().get(classIndex).idempotency();
        List<String[]> fields = new ArrayList<>();
        addField(fields, "X-Lane", requestClass);
        if (tenant != null) {
            addField(fields, "X-Org", tenant);
        }
        addEntity(fields, entity);
        addIdempotencyKey(fields);
        message = new WorkerRequest(head.method(), head.target(), requestId, requestClass, fields, body);
        long deadlineUs = lastByteUs + Math.round(waitMs * 1000) - RESPONSE_TRANSIT_US;
        inFlight = new InFlightRequest(
                classIndex,
                tenantIndex,
                Math.min(deadlineUs, context.state().shutdownDeadlineUs().getAsLong()),
                workMs,
                slots,
                memory,
                entity,
                config.settings());
    }

    private int checkClass(Config config) throws HttpException {
        int classIndex = config.names().place(firstPathSegment(head.target()));
        if (classIndex < 0) {
            throw new HttpException(404, "no such path");
        }
        if (head.target().length() > MAX_TARGET_CHARS) {
            throw new HttpException(414, "target too long");
        }
        if (!head.method().equals("POST")) {
            throw new HttpException(405, "jobs come by POST");
        }
        int headerIndex = config.names().place(required("X-Lane"));
        if (headerIndex < 0) {
            throw new HttpException(404, "no such class");
        }
        if (headerIndex != classIndex) {
            throw new HttpException(400, "X-Lane and path differ");
        }
        return classIndex;
    }

    private int checkTenant(Config config) throws HttpException {
        if (config.names().tenants().isEmpty()) {
            return 0;
        }
        int tenantIndex = config.names().tenants().indexOf(required("X-Org"));
        if (tenantIndex < 0) {
            throw new HttpException(400, "unknown X-Org");
        }
        return tenantIndex;
    }

    private long checkRemainingMs() throws HttpException {
        String remaining = required("X-Remaining-Ms");
        if (!remaining.matches("[0-9]{1,7}")
                || Long.parseLong(remaining) > MAX_REMAINING_MS
                || Long.parseLong(remaining) == 0) {
            throw new HttpException(400, "X-Remaining-Ms out of range");
        }
        return Long.parseLong(remaining);
    }

    /** Reads the labels. Unknown labels are allowed, as the protocol may add some. */
    private void readLabels(BiConsumer<String, Double> reader) throws HttpException {
        String text = atMostOne("X-Labels");
        for (String label : text == null ? new String[0] : text.split(",")) {
            int equals = label.indexOf('=');
            if (equals < 1) {
                throw new HttpException(400, "malformed X-Labels");
            }
            double value = number(label.substring(equals + 1), "X-Labels", 0);
            reader.accept(label.substring(0, equals).strip(), value);
            labelCount++;
        }
    }

    /** Returns the memory in bytes that the labels take while the request is sequenced. */
    long labelBytes() {
        return labelCount * BYTES_PER_LABEL;
    }

    private static void addField(List<String[]> fields, String name, String value) {
        fields.add(new String[] {name, value});
    }

    private static void addEntity(List<String[]> fields, String entity) throws HttpException {
        if (entity == null || entity.isEmpty()) {
            return;
        }
        if (!entity.matches("[ -~]{1,256}")) {
            throw new HttpException(400, "malformed X-Entity");
        }
        addField(fields, "X-Entity", entity);
    }

    /**
     * Adds the idempotency key, unchanged. Requests of a class with idempotency keys are safe to retry only because the
     * workers discard a request whose key repeats: a worker that does not receive the key runs the request twice, and
     * one that receives another key treats it as another request.
     */
    private void addIdempotencyKey(List<String[]> fields) throws HttpException {
        String key = atMostOne("Idempotency-Key");
        boolean missing = key == null || key.isEmpty();
        if (missing && idempotency == Idempotency.IDEMPOTENCY_KEY) {
            throw new HttpException(400, "Idempotency-Key is missing");
        }
        if (missing) {
            return;
        }
        if (!key.matches("[!-~]{1,255}")) {
            throw new HttpException(400, "malformed Idempotency-Key");
        }
        addField(fields, "Idempotency-Key", key);
    }

    /**
     * Returns the request as the sequencer sees it.
     *
     * @param nowUs the current time, on {@code DecisionService.nowUs}
     */
    RequestSequencer.SequencedRequest sequenced(long nowUs) {
        Map<String, Double> labels = new HashMap<>();
        try {
            readLabels(labels::put);
        } catch (HttpException e) {
            throw new IllegalStateException("the labels were valid before", e);
        }
        List<String[]> fields = new ArrayList<>();
        for (String name : FORWARDED_FIELDS) {
            if (head.get(name) != null) {
                addField(fields, name, head.get(name));
            }
        }
        String entity = head.get("X-Entity");
        return new RequestSequencer.SequencedRequest(
                message,
                inFlight,
                tenant,
                entity == null || entity.isEmpty() ? null : entity,
                labels,
                fields,
                head.get(RequestSequencer.FORWARDED_BY_HEADER),
                (inFlight.deadlineUs() - nowUs) / 1000);
    }

    /** Whether it does no harm if the request runs twice, or workers drop the repeat. */
    boolean mayRunTwice() {
        return idempotency != Idempotency.NON_IDEMPOTENT;
    }

    /** Whether the request was forwarded by another dispatcher, which holds the client's connection. */
    boolean isForwarded() {
        return head.get(RequestSequencer.FORWARDED_BY_HEADER) != null;
    }

    private static String firstPathSegment(String target) {
        int end = 1;
        while (end < target.length() && "/?".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        return target.startsWith("/") ? target.substring(1, end) : "";
    }

    private String atMostOne(String name) throws HttpException {
        if (head.count(name) > 1) {
            throw new HttpException(400, name + " stands twice");
        }
        return head.get(name);
    }

    private String required(String name) throws HttpException {
        String value = atMostOne(name);
        if (value == null || value.isEmpty()) {
            throw new HttpException(400, name + " is missing");
        }
        return value;
    }

    private static double number(String text, String name, double defaultValue) throws HttpException {
        if (text == null) {
            return defaultValue;
        }
        if (!text.strip().matches("[0-9]{1,12}(\\.[0-9]{1,9})?")) {
            throw new HttpException(400, name + " out of range");
        }
        return Double.parseDouble(text.strip());
    }
}
