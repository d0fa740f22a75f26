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
 * Parses the lines in which a worker reports on one request, and load reports. Used by one thread.
 */
final class WorkerStreamReader {
    /** Notified when the worker has started the request (share 0), or has completed a share of its work, 0 to 1. */
    interface ProgressListener {
        void progressed(boolean started, double share);
    }

    private static final String TEXT_PREFIX = "TEXT ";

    /** Names in the settings of the figures that have another name on the wire, by the name on the wire. */
    private static final Map<String, String> SETTINGS_NAMES =
            Map.of("inflight", "active", "queue", "waiting", "util", "cpu", "latency_ms", "avg_ms", "eps", "err_rps");

    private final String id;
    private final ProgressListener listener;
    /** How the request ended; null until its final line. */
    Outcome outcome;
    /** The result; null unless the request was served. */
    byte[] result;
    /** The load report of the final line, or null. */
    WorkerLoad load;

    WorkerStreamReader(String id, ProgressListener listener) {
        this.id = id;
        this.listener = listener;
    }

    /**
     * Handles one line.
     *
     * @throws HttpException if the line is malformed or belongs to another request
     */
    void line(String text) throws HttpException {
        if (text.isEmpty() || outcome != null) {
            return;
        }
        try {
            JsonObject line = JsonParser.parseString(text).getAsJsonObject();
            if (!line.get("id").getAsString().equals(id)) {
                throw new HttpException(502, "line of another request");
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
                default -> throw new HttpException(502, "unknown state in a line");
            }
            if (outcome != null && line.has("load") && line.get("load").isJsonObject()) {
                load = loadOf(line.getAsJsonObject("load"));
            }
        } catch (RuntimeException e) { // Gson throws several types for malformed input
            throw new HttpException(502, "malformed line");
        }
    }

    private static String resultText(JsonElement result) {
        return result.isJsonPrimitive() ? result.getAsString() : result.toString();
    }

    /** Parses the load report of a body or a header, a JSON object or TEXT name=value, ...; null if it is neither. */
    static WorkerLoad load(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        String plain = text.strip();
        try {
            return plain.startsWith("{") ? fromJson(plain) : fromText(plain);
        } catch (RuntimeException e) { // Gson throws several types for malformed input
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
