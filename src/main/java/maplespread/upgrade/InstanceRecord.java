package maplespread.upgrade;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * What a process tells other processes of the same dispatcher, as one line of text: the format's version, the address,
 * the phase, and a checksum over these.
 *
 * @param listenAddress the clients' address, by which processes of one dispatcher know each other
 * @param phase where the process stands
 */
public record InstanceRecord(String listenAddress, Phase phase) {
    /** STARTING: takes no clients yet; SERVING: takes them; ENDING: has been told to end. */
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

    /** Empty where the text is damaged, of another version, or no record at all. */
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
