package maplespread.upgrade;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * The record that a process publishes to the other processes of the same dispatcher. Its encoding is one line of text:
 * the format version, the address, the phase, and a checksum of these three.
 *
 * @param listenAddress the address where the dispatcher accepts clients; processes with the same address belong to the
 *     same dispatcher
 * @param phase the phase of the process's life cycle
 */
public record InstanceRecord(String listenAddress, Phase phase) {
    /** STARTING: does not accept clients yet; SERVING: accepts clients; ENDING: is shutting down on request. */
    public enum Phase {
        STARTING,
        SERVING,
        ENDING
    }

    private static final String FORMAT_VERSION = "maplespread-1";
    private static final String SEPARATOR = " ";

    String encode() {
        String body = String.join(SEPARATOR, FORMAT_VERSION, listenAddress, phase.name());
        return body + SEPARATOR + checksum(body) + '\n';
    }

    /** Returns empty if the text is damaged, has another format version, or is not a record. */
    static Optional<InstanceRecord> parse(String text) {
        String[] fields = text.strip().split(SEPARATOR);
        if (fields.length != 4 || !fields[0].equals(FORMAT_VERSION)) {
            return Optional.empty();
        }
        String listenAddress = fields[1];
        String body = String.join(SEPARATOR, fields[0], listenAddress, fields[2]);
        for (Phase phase : Phase.values()) {
            if (phase.name().equals(fields[2]) && checksum(body).equals(fields[3])) {
                return Optional.of(new InstanceRecord(listenAddress, phase));
            }
        }
        return Optional.empty();
    }

    private static String checksum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }
}
