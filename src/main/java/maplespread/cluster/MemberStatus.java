package maplespread.cluster;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * The status that a dispatcher reports of itself. Shares and the mean latency cover the last seconds.
 *
 * @param incarnation Unix milliseconds at which its process began
 * @param sequence grows with each status of an incarnation
 * @param version of its program
 * @param zone the name of its zone
 * @param phase whether it serves
 * @param rejectedShare of all requests, 0 to 1
 * @param errorShare of all requests, 0 to 1
 * @param meanLatencyMs from a request's acceptance to its answer, in milliseconds
 * @param samples the number of requests behind these figures
 */
public record MemberStatus(
        long incarnation,
        long sequence,
        String version,
        String zone,
        Phase phase,
        double rejectedShare,
        double errorShare,
        double meanLatencyMs,
        long samples) {
    /** Whether a dispatcher serves. Packets carry their order numbers, and admin answers print their names. */
    public enum Phase {
        /** It does not serve yet. */
        STARTING,
        /** It serves. */
        SERVING,
        /** It sends its clients away, because of a drain command or its shutdown. */
        DRAINING
    }

    private static final byte VERSION = 1;

    /** Greatest length of a text in bytes of UTF-8; longer texts are truncated. */
    private static final int MAX_TEXT_BYTES = 64;

    private static final int FIXED_BYTES = 1 + 2 * Long.BYTES + 1 + 3 * Double.BYTES + Long.BYTES + 2;

    /** Encodes this status in at most 200 bytes; longer texts are truncated. */
    public byte[] encode() {
        byte[] versionBytes = cutText(version);
        byte[] zoneBytes = cutText(zone);
        return ByteBuffer.allocate(FIXED_BYTES + versionBytes.length + zoneBytes.length)
                .put(VERSION)
                .putLong(incarnation)
                .putLong(sequence)
                .put((byte) phase.ordinal())
                .putDouble(rejectedShare)
                .putDouble(errorShare)
                .putDouble(meanLatencyMs)
                .putLong(samples)
                .put((byte) versionBytes.length)
                .put(versionBytes)
                .put((byte) zoneBytes.length)
                .put(zoneBytes)
                .array();
    }

    private static byte[] cutText(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return bytes.length <= MAX_TEXT_BYTES ? bytes : Arrays.copyOf(bytes, MAX_TEXT_BYTES);
    }

    /** The status in these bytes; empty where they are none, or one of another version's form. */
    public static Optional<MemberStatus> decode(byte[] bytes) {
        try {
            ByteBuffer input = ByteBuffer.wrap(bytes);
            if (input.get() != VERSION) {
                return Optional.empty();
            }
            MemberStatus status = read(input);
            return status.isPlausible() && !input.hasRemaining() ? Optional.of(status) : Optional.empty();
        } catch (RuntimeException e) { // the bytes end too early, or name no phase
            return Optional.empty();
        }
    }

    private static MemberStatus read(ByteBuffer in) {
        long incarnation = in.getLong();
        long sequence = in.getLong();
        Phase phase = Phase.values()[in.get()];
        double rejectedShare = in.getDouble();
        double errorShare = in.getDouble();
        double meanLatencyMs = in.getDouble();
        long samples = in.getLong();
        String version = readText(in);
        String zone = readText(in);
        return new MemberStatus(
                incarnation, sequence, version, zone, phase, rejectedShare, errorShare, meanLatencyMs, samples);
    }

    private static String readText(ByteBuffer in) {
        byte[] bytes = new byte[in.get()];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private boolean isPlausible() {
        return isShare(rejectedShare)
                && isShare(errorShare)
                && meanLatencyMs >= 0
                && meanLatencyMs < Double.POSITIVE_INFINITY
                && samples >= 0;
    }

    private static boolean isShare(double value) {
        return value >= 0 && value <= 1;
    }

    /** Whether this was sent after the other status of the same member; null: there is no other. */
    boolean isNewerThan(MemberStatus other) {
        if (other == null) {
            return true;
        }
        return incarnation > other.incarnation || incarnation == other.incarnation && sequence > other.sequence;
    }
}
