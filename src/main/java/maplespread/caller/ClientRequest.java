package maplespread.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import maplespread.config.Config;
import maplespread.facade.InFlightRequest;
import maplespread.http.HttpException;
import maplespread.http.HttpHead;
import maplespread.policy.Idempotency;
import maplespread.worker.WorkerRequest;

/** Checks a client's job and reads what decisions need of it. Nothing that fails here reaches a worker. */
final class ClientRequest {
    private static final long LONGEST_MS = 3_600_000;
    /** For the answer's way to the client, so that one at the deadline still arrives in time. */
    private static final long WAY_BACK_US = 5_000;

    private static final int LONGEST_TARGET = 2048;
    private static final List<String> HANDED_ON =
            List.of("X-Lane", "X-Org", "X-Estimate", "X-Labels", "X-Entity", "Idempotency-Key");

    final WorkerRequest message;
    final InFlightRequest transaction;
    private final HttpHead head;
    private final String tenant;
    private final Map<String, Double> labels = new HashMap<>();

    /** {@code lastByteUs}: when the request's last byte had come, on the dispatcher's clock. */
    ClientRequest(ServingContext service, HttpHead head, byte[] body, long lastByteUs) throws HttpException {
        this.head = head;
        Config config = service.config();
        int cls = config.names().place(firstPart(head.target()));
        if (cls < 0) {
            throw new HttpException(404, "no such path");
        }
        if (head.target().length() > LONGEST_TARGET) {
            throw new HttpException(414, "target too long");
        }
        if (!head.method().equals("POST")) {
            throw new HttpException(405, "jobs come by POST");
        }
        String lane = need(head, "X-Lane");
        if (config.names().place(lane) < 0) {
            throw new HttpException(404, "no such class");
        }
        if (config.names().place(lane) != cls) {
            throw new HttpException(400, "X-Lane and path differ");
        }
        String id = need(head, "X-Txn");
        if (!id.matches("[!-~]{1,128}")) {
            throw new HttpException(400, "malformed X-Txn");
        }
        int place = 0;
        if (!config.names().tenants().isEmpty()) {
            place = config.names().tenants().indexOf(need(head, "X-Org"));
            if (place < 0) {
                throw new HttpException(400, "unknown X-Org");
            }
        }
        tenant = config.names().tenants().isEmpty()
                ? null
                : config.names().tenants().get(place);
        String remaining = need(head, "X-Remaining-Ms");
        if (!remaining.matches("[0-9]{1,7}")
                || Long.parseLong(remaining) > LONGEST_MS
                || Long.parseLong(remaining) == 0) {
            throw new HttpException(400, "X-Remaining-Ms out of range");
        }
        double waitMs = Math.min(
                Long.parseLong(remaining), config.settings().classes().get(cls).deadlineMs());
        double workMs = figure(one(head, "X-Estimate"), "X-Estimate", Double.NaN) / 1000;
        double slots = 1;
        double memory = 0;
        String labels = one(head, "X-Labels");
        for (String label : labels == null ? new String[0] : labels.split(",")) {
            int eq = label.indexOf('=');
            if (eq < 1) {
                throw new HttpException(400, "malformed X-Labels");
            }
            double v = figure(label.substring(eq + 1), "X-Labels", 0);
            if (service.sequencer() != null) {
                this.labels.put(label.substring(0, eq).strip(), v);
            }
            switch (label.substring(0, eq).strip().toLowerCase(Locale.ROOT)) {
                case "slots", "coresneeded", "x1" -> slots = v;
                case "memory", "ramunits", "x2" -> memory = v;
                default -> {} // keys may be added
            }
        }
        String entity = one(head, "X-Entity");
        // Nothing of the client's own head goes on but what was checked here: a worker closes on a head
        // that it cannot read, and a field may mean something else to it than to this parser.
        List<String[]> fields = new ArrayList<>();
        fields.add(new String[] {"X-Lane", lane});
        if (tenant != null) {
            fields.add(new String[] {"X-Org", tenant});
        }
        if (entity != null && !entity.isEmpty()) {
            if (!entity.matches("[ -~]{1,256}")) {
                throw new HttpException(400, "malformed X-Entity");
            }
            fields.add(new String[] {"X-Entity", entity});
        }
        // A keyed class is safe to send again only because its workers drop a repeat of the key: a worker
        // that never sees the key runs the job twice, and one that sees another key takes it for another job.
        String key = one(head, "Idempotency-Key");
        boolean keyed = config.settings().classes().get(cls).idempotency() == Idempotency.IDEMPOTENCY_KEY;
        if (keyed && (key == null || key.isEmpty())) {
            throw new HttpException(400, "Idempotency-Key is missing");
        }
        if (key != null && !key.isEmpty()) {
            if (!key.matches("[!-~]{1,255}")) {
                throw new HttpException(400, "malformed Idempotency-Key");
            }
            fields.add(new String[] {"Idempotency-Key", key});
        }
        message = new WorkerRequest(head.method(), head.target(), id, lane, fields, body);
        long waitsUntilUs = lastByteUs + Math.round(waitMs * 1000) - WAY_BACK_US;
        transaction = new InFlightRequest(
                cls,
                place,
                Math.min(waitsUntilUs, service.shutdownDeadlineUs().getAsLong()),
                workMs,
                slots,
                memory,
                entity,
                config.settings());
    }

    /** As those see it who give jobs their turn. */
    RequestSequencer.SequencedRequest job(long nowUs) {
        List<String[]> fields = new ArrayList<>();
        for (String name : HANDED_ON) {
            if (head.get(name) != null) {
                fields.add(new String[] {name, head.get(name)});
            }
        }
        String entity = head.get("X-Entity");
        return new RequestSequencer.SequencedRequest(
                message,
                transaction,
                tenant,
                entity == null || entity.isEmpty() ? null : entity,
                labels,
                fields,
                head.get(RequestSequencer.FORWARDED_BY_HEADER),
                (transaction.deadlineUs() - nowUs) / 1000);
    }

    /** Whether another dispatcher has the client. */
    boolean handedOn() {
        return head.get(RequestSequencer.FORWARDED_BY_HEADER) != null;
    }

    private static String firstPart(String target) {
        int end = 1;
        while (end < target.length() && "/?".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        return target.startsWith("/") ? target.substring(1, end) : "";
    }

    private static String one(HttpHead head, String name) throws HttpException {
        if (head.count(name) > 1) {
            throw new HttpException(400, name + " stands twice");
        }
        return head.get(name);
    }

    private static String need(HttpHead head, String name) throws HttpException {
        String value = one(head, name);
        if (value == null || value.isEmpty()) {
            throw new HttpException(400, name + " is missing");
        }
        return value;
    }

    private static double figure(String text, String name, double otherwise) throws HttpException {
        if (text == null) {
            return otherwise;
        }
        if (!text.strip().matches("[0-9]{1,12}(\\.[0-9]{1,9})?")) {
            throw new HttpException(400, name + " out of range");
        }
        return Double.parseDouble(text.strip());
    }
}
