package maplespread.upgrade;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * What a process says of itself to others of the same dispatcher: one line of text with its version and a sum
 * over the rest. {@code listen}: the clients' address, by which processes of one dispatcher know each other.
 */
public record InstanceRecord(String listenAddress, Phase phase) {
    /** STARTING: takes no clients yet; SERVING: takes them; ENDING: has been told to end. */
    public enum Phase {
        STARTING,
        SERVING,
        ENDING
    }

    private static final String VERSION = "maplespread-1";

    String encode() {
        String body = VERSION + ' ' + listenAddress + ' ' + phase;
        return body + ' ' + sum(body) + '\n';
    }

    /** Empty where the text is damaged, of another version, or not one of these at all. */
    static Optional<InstanceRecord> parse(String text) {
        String[] parts = text.strip().split(" ");
        if (parts.length != 4 || !parts[0].equals(VERSION)) {
            return Optional.empty();
        }
        String body = parts[0] + ' ' + parts[1] + ' ' + parts[2];
        for (Phase state : Phase.values()) {
            if (state.name().equals(parts[2]) && sum(body).equals(parts[3])) {
                return Optional.of(new InstanceRecord(parts[1], state));
            }
        }
        return Optional.empty();
    }

    private static String sum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }
}
