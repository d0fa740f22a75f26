package maplespread.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Where the other dispatchers are, and who decides. {@code listen}: this one's UDP socket; {@code address}:
 * how others reach it; {@code seeds}: addresses asked for the group; {@code electors}: names of those that
 * decide; {@code version}: of the program, as a release names it, empty: its jar's; {@code periodMs} between
 * probes, {@code ackMs} for a direct answer.
 */
public record GroupSettings(
        String listen,
        String address,
        List<String> seeds,
        List<String> electors,
        Keys keys,
        String version,
        long periodMs,
        long ackMs) {
    /** What packets are sealed with; the first one seals. Shows nothing of the secrets in any text. */
    public static final class Keys {
        private final Map<Integer, byte[]> byId;

        Keys(Map<Integer, byte[]> byId) {
            this.byId = byId;
        }

        /** By id, in order; a copy. */
        public LinkedHashMap<Integer, byte[]> byId() {
            LinkedHashMap<Integer, byte[]> copy = new LinkedHashMap<>();
            byId.forEach((id, secret) -> copy.put(id, secret.clone()));
            return copy;
        }

        @Override
        public String toString() {
            return "keys " + byId.keySet();
        }
    }

    /** The keys in which another one differs that a running group cannot take up. */
    public List<String> needingRestart(GroupSettings other) {
        List<String> keys = new ArrayList<>();
        differ(keys, "group.listen", listen, other.listen);
        differ(keys, "group.address", address, other.address);
        differ(keys, "group.seeds", seeds, other.seeds);
        differ(keys, "group.version", version, other.version);
        differ(keys, "group.period_ms", periodMs, other.periodMs);
        differ(keys, "group.ack_ms", ackMs, other.ackMs);
        return keys;
    }

    private static void differ(List<String> keys, String key, Object here, Object there) {
        if (!Objects.equals(here, there)) {
            keys.add(key);
        }
    }
}
