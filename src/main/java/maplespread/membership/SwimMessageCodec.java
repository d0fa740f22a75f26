package maplespread.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import maplespread.membership.MemberUpdate.State;
import maplespread.membership.SwimMessage.Kind;

/** The binary form of the membership's messages, and of the texts in a packet. */
final class SwimMessageCodec {
    /** Most bytes of one text, as UTF-8. */
    static final int MAX_TEXT_BYTES = 1024;

    /** Most bytes that a text takes in a packet, its length included. */
    static final int MAX_TEXT_FIELD_BYTES = Short.BYTES + MAX_TEXT_BYTES;

    private static final int KIND_AND_SEQUENCE_BYTES = 1 + Long.BYTES;
    private static final int UPDATE_NUMBERS_BYTES = 1 + 2 * Long.BYTES;
    private static final int TEXTS_PER_UPDATE = 3;
    private static final int MAX_UTF8_BYTES_PER_CHAR = 4;
    private static final int MAX_QUOTED_CHARS = 40;

    private SwimMessageCodec() {}

    static byte[] encode(SwimMessage message) {
        ByteBuffer out = ByteBuffer.allocate(maxBytes(message));
        out.put((byte) message.kind().ordinal()).putLong(message.sequence());
        putText(out, message.target());
        putText(out, message.targetAddress());
        out.putShort((short) message.updates().size());
        for (MemberUpdate update : message.updates()) {
            putText(out, update.name());
            putText(out, update.address());
            out.put((byte) update.state().ordinal());
            out.putLong(update.processIncarnation()).putLong(update.incarnation());
            putText(out, update.suspectedBy());
        }
        return Arrays.copyOf(out.array(), out.position());
    }

    private static int maxBytes(SwimMessage message) {
        int bytes = KIND_AND_SEQUENCE_BYTES + Short.BYTES + 2 * MAX_TEXT_FIELD_BYTES;
        for (MemberUpdate update : message.updates()) {
            int chars = update.name().length()
                    + update.address().length()
                    + update.suspectedBy().length();
            bytes += TEXTS_PER_UPDATE * Short.BYTES + UPDATE_NUMBERS_BYTES + MAX_UTF8_BYTES_PER_CHAR * chars;
        }
        return bytes;
    }

    /**
     * The message that takes up all the rest of the bytes; empty where bytes are left.
     *
     * @throws RuntimeException if the bytes end too early, or name no kind or state
     */
    static Optional<SwimMessage> decode(ByteBuffer in) {
        Kind kind = Kind.values()[in.get()];
        long sequence = in.getLong();
        String target = getText(in);
        String targetAddress = getText(in);
        int count = in.getShort();
        List<MemberUpdate> updates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            updates.add(decodeUpdate(in));
        }
        if (in.hasRemaining() || count < 0) {
            return Optional.empty();
        }
        return Optional.of(new SwimMessage(kind, sequence, target, targetAddress, updates));
    }

    private static MemberUpdate decodeUpdate(ByteBuffer in) {
        String name = getText(in);
        String address = getText(in);
        State state = State.values()[in.get()];
        return new MemberUpdate(name, address, state, in.getLong(), in.getLong(), getText(in));
    }

    /**
     * Writes a text after its length.
     *
     * @throws IllegalArgumentException if it is longer than {@link #MAX_TEXT_BYTES}
     */
    static void putText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException(
                    "text is longer than 1024 bytes: " + text.substring(0, MAX_QUOTED_CHARS));
        }
        out.putShort((short) bytes.length).put(bytes);
    }

    /** Reads a text after its length; throws a {@link RuntimeException} where there is none. */
    static String getText(ByteBuffer in) {
        int length = in.getShort();
        if (length < 0 || length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException("text length out of range: " + length);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
