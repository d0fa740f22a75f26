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

/**
 * Reads the lines in which a worker reports on one request, and load reports. One request's lines are read by one thread.
 */
final class WorkerStreamReader {
    /** Notified when the request has started at its worker (share 0), or has done a share of its work, 0 to 1. */
    interface ProgressListener {
        void progressed(boolean started, double share);
    }

    private static final String TEXT_PREFIX = "TEXT ";

    /** The wire and the settings name some figures differently; the settings' names count. */
    private static final Map<String, String> SETTINGS_NAMES =
            Map.of("inflight", "active", "queue", "waiting", "util", "cpu", "latency_ms", "avg_ms", "eps", "err_rps");

    private final String id;
    private final ProgressListener listener;
    /** How the request ended; null until its final line. */
    Outcome outcome;
    /** The result; null unless it served. */
    byte[] result;
    /** The load report of the final line, or null. */
    WorkerLoad load;

    WorkerStreamReader(String id, ProgressListener listener) {
        this.id = id;
        this.listener = listener;
    }

    /** Takes one line; an {@link HttpException} where it cannot be read, or is of another request. */
    void line(String text) throws HttpException {
        if (text.isEmpty() || outcome != null) {
            return;
        }
        try {
            JsonObject line = JsonParser.parseString(text).getAsJsonObject();
            if (!line.get("id").getAsString().equals(id)) {
                throw new HttpException(502, "a line of another job");
            }
            switch (line.get("state").getAsString()) {
                case "started" -> listener.progressed(true, 0);
                case "running" -> listener.progressed(false, line.get("share").getAsDouble());
                case "done" -> {
                    result = resultText(line.get("result")).getBytes(StandardCharsets.UTF_8);
                    outcome = Outcome.SERVED;
                }
                case "failed" -> outcome = Outcome.ERROR;
                case "returned" -> outcome = Outcome.REJECTED;
                case "lost" -> outcome = Outcome.RESET;
                default -> throw new HttpException(502, "an unknown state");
            }
            if (outcome != null && line.has("load") && line.get("load").isJsonObject()) {
                load = loadOf(line.getAsJsonObject("load"));
            }
        } catch (RuntimeException e) { // Gson has several for what is malformed
            throw new HttpException(502, "malformed line");
        }
    }

    private static String resultText(JsonElement result) {
        return result.isJsonPrimitive() ? result.getAsString() : result.toString();
    }

    /** A report as a body or a header: an object, or TEXT name=value, ...; null where it is neither. */
    static WorkerLoad load(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        String plain = text.strip();
        try {
            return plain.startsWith("{") ? fromJson(plain) : fromText(plain);
        } catch (RuntimeException e) { // Gson has several for what is malformed
            return null;
        }
    }

    private static WorkerLoad fromJson(String text) {
        JsonObject report = JsonParser.parseString(text).getAsJsonObject();
        boolean wrapped = report.has("load") && report.get("load").isJsonObject();
        return loadOf(wrapped ? report.getAsJsonObject("load") : report);
    }

    private static WorkerLoad fromText(String text) {
        String list = text.startsWith(TEXT_PREFIX) ? text.substring(TEXT_PREFIX.length()) : text;
        Map<String, Double> figures = new HashMap<>();
        for (String part : list.split(",")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                figures.put(part.substring(0, equals).strip(), Double.parseDouble(part.substring(equals + 1)));
            }
        }
        return figures.isEmpty() ? null : withSettingsNames(figures);
    }

    private static WorkerLoad loadOf(JsonObject report) {
        Map<String, Double> figures = new HashMap<>();
        for (Map.Entry<String, JsonElement> figure : report.entrySet()) {
            if (figure.getValue().isJsonPrimitive()) {
                figures.put(figure.getKey(), figure.getValue().getAsDouble());
            }
        }
        return withSettingsNames(figures);
    }

    private static WorkerLoad withSettingsNames(Map<String, Double> figures) {
        Map<String, Double> all = new HashMap<>(figures);
        SETTINGS_NAMES.forEach((wireName, settingsName) -> {
            if (figures.containsKey(wireName)) {
                all.put(settingsName, figures.get(wireName));
            }
        });
        return new WorkerLoad(all);
    }
}
