package maplespread.worker;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import maplespread.facade.Outcome;
import maplespread.facade.WorkerLoad;
import maplespread.http.HttpException;

/** Reads the lines in which a worker tells of a job, and the load reports. */
final class WorkerStreamReader {
    /** What tells of a start (share 0) or of progress. */
    interface Progress {
        void told(boolean started, double share);
    }

    private final String id;
    private final Progress progress;
    Outcome outcome; // null until the final line
    byte[] result;
    WorkerLoad load;

    WorkerStreamReader(String id, Progress progress) {
        this.id = id;
        this.progress = progress;
    }

    void line(String text) throws HttpException {
        if (text.isEmpty() || outcome != null) {
            return;
        }
        try {
            JsonObject o = JsonParser.parseString(text).getAsJsonObject();
            if (!o.get("id").getAsString().equals(id)) {
                throw new HttpException(502, "a line of another job");
            }
            switch (o.get("state").getAsString()) {
                case "started" -> progress.told(true, 0);
                case "running" -> progress.told(false, o.get("share").getAsDouble());
                case "done" -> {
                    JsonElement r = o.get("result");
                    result = (r.isJsonPrimitive() ? r.getAsString() : r.toString()).getBytes(StandardCharsets.UTF_8);
                    outcome = Outcome.SERVED;
                }
                case "failed" -> outcome = Outcome.ERROR;
                case "returned" -> outcome = Outcome.REJECTED;
                case "lost" -> outcome = Outcome.RESET;
                default -> throw new HttpException(502, "an unknown state");
            }
            if (outcome != null && o.has("load") && o.get("load").isJsonObject()) {
                load = figures(o.getAsJsonObject("load"));
            }
        } catch (RuntimeException e) { // Gson has several for what is malformed
            throw new HttpException(502, "malformed line");
        }
    }

    /** A report as a body or a header: an object, or TEXT name=value, ...; null where it is neither. */
    static WorkerLoad load(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        String plain = text.strip();
        try {
            if (plain.startsWith("{")) {
                JsonObject o = JsonParser.parseString(plain).getAsJsonObject();
                return figures(o.has("load") && o.get("load").isJsonObject() ? o.getAsJsonObject("load") : o);
            }
            Map<String, Double> figures = new HashMap<>();
            for (String part : (plain.startsWith("TEXT ") ? plain.substring(5) : plain).split(",")) {
                int eq = part.indexOf('=');
                if (eq > 0) {
                    figures.put(part.substring(0, eq).strip(), Double.parseDouble(part.substring(eq + 1)));
                }
            }
            return figures.isEmpty() ? null : named(figures);
        } catch (RuntimeException e) {
            return null;
        }
    }

    private static WorkerLoad figures(JsonObject o) {
        Map<String, Double> figures = new HashMap<>();
        for (Map.Entry<String, JsonElement> e : o.entrySet()) {
            if (e.getValue().isJsonPrimitive()) {
                figures.put(e.getKey(), e.getValue().getAsDouble());
            }
        }
        return named(figures);
    }

    /** Sockets and settings name some figures apart; the settings' names count. */
    private static WorkerLoad named(Map<String, Double> figures) {
        Map<String, Double> all = new HashMap<>(figures);
        Map.of("inflight", "active", "queue", "waiting", "util", "cpu", "latency_ms", "avg_ms", "eps", "err_rps")
                .forEach((socket, setting) -> {
                    if (figures.containsKey(socket)) {
                        all.put(setting, figures.get(socket));
                    }
                });
        return new WorkerLoad(all);
    }
}
