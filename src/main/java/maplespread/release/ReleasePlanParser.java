package maplespread.release;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import maplespread.release.ReleaseRejectedException.Reason;

/** Reads a {@link ReleasePlan} from the JSON of an admin call. docs/operators/release.md describes each key. */
final class ReleasePlanParser {
    private static final Set<String> PLAN_KEYS = Set.of(
            "id",
            "from",
            "to",
            "dispatchers",
            "workers",
            "zones",
            "kinds",
            "cells",
            "names",
            "first",
            "order",
            "steps",
            "limits");
    private static final Set<String> LIMIT_KEYS = Set.of(
            "dispatchers_out",
            "workers_out",
            "workers_out_zone",
            "workers_out_kind",
            "least_capacity",
            "quiet_ms",
            "back_ms",
            "worse_refused",
            "worse_errors",
            "worse_wait");

    private ReleasePlanParser() {}

    /** Parses the plan without validating it as a whole. */
    static ReleasePlan parse(String json) throws ReleaseRejectedException {
        try {
            JsonObject object = JsonParser.parseString(json).getAsJsonObject();
            requireKnownKeys("", object, PLAN_KEYS);
            return new ReleasePlan(
                    text(object, "id", ""),
                    text(object, "from", ""),
                    text(object, "to", ""),
                    flag(object, "dispatchers"),
                    flag(object, "workers"),
                    texts(object, "zones"),
                    texts(object, "kinds"),
                    texts(object, "cells"),
                    texts(object, "names"),
                    text(object, "first", ReleasePlan.WORKERS),
                    texts(object, "order"),
                    stepSizes(object),
                    object.has("limits") ? limits(object.getAsJsonObject("limits")) : null);
        } catch (JsonParseException
                | IllegalStateException
                | ClassCastException
                | UnsupportedOperationException
                | IllegalArgumentException e) {
            throw new ReleaseRejectedException(Reason.BAD_PLAN, "the plan cannot be read: " + e.getMessage());
        }
    }

    private static void requireKnownKeys(String prefix, JsonObject object, Set<String> known)
            throws ReleaseRejectedException {
        Set<String> unknown = new TreeSet<>(object.keySet());
        unknown.removeAll(known);
        if (!unknown.isEmpty()) {
            throw new ReleaseRejectedException(
                    Reason.BAD_PLAN,
                    "unknown key " + prefix + unknown.iterator().next());
        }
    }

    private static String text(JsonObject object, String key, String defaultValue) {
        return object.has(key) ? object.get(key).getAsString() : defaultValue;
    }

    private static boolean flag(JsonObject object, String key) {
        return object.has(key) && object.get(key).getAsBoolean();
    }

    private static double number(JsonObject object, String key, double defaultValue) {
        return object.has(key) ? object.get(key).getAsDouble() : defaultValue;
    }

    private static List<String> texts(JsonObject object, String key) {
        List<String> texts = new ArrayList<>();
        if (object.has(key)) {
            for (JsonElement element : object.getAsJsonArray(key)) {
                texts.add(element.getAsString());
            }
        }
        return List.copyOf(texts);
    }

    private static List<Integer> stepSizes(JsonObject object) {
        if (!object.has("steps")) {
            return List.of(1);
        }
        return texts(object, "steps").stream().map(Integer::valueOf).toList();
    }

    /** Limits that the plan does not specify do not restrict anything. */
    private static Limits limits(JsonObject object) throws ReleaseRejectedException {
        requireKnownKeys("limits.", object, LIMIT_KEYS);
        Limits none = Limits.NONE;
        return new Limits(
                number(object, "dispatchers_out", none.dispatchersOut()),
                number(object, "workers_out", none.workersOut()),
                number(object, "workers_out_zone", none.workersOutZone()),
                number(object, "workers_out_kind", none.workersOutKind()),
                number(object, "least_capacity", none.leastCapacity()),
                (long) number(object, "quiet_ms", none.quietMs()),
                (long) number(object, "back_ms", none.backMs()),
                number(object, "worse_refused", none.worseRefused()),
                number(object, "worse_errors", none.worseErrors()),
                number(object, "worse_wait", none.worseWait()));
    }
}
