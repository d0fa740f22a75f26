package maplespread.announce;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import maplespread.announce.BgpMessage.Keepalive;
import maplespread.announce.BgpMessage.Notification;
import maplespread.announce.BgpMessage.Open;
import maplespread.announce.BgpMessage.Prefix;
import maplespread.announce.BgpMessage.Update;

/**
 * Reads the BGP-4 messages (RFC 4271 section 4) of one connection from bytes as they come, and holds no more than one
 * message. Not safe for use by several threads at once.
 */
public final class BgpDecoder {
    private static final int MIN_OPEN_BYTES = 29;
    private static final int MIN_UPDATE_BYTES = 23;
    private static final int MIN_NOTIFICATION_BYTES = 21;

    /** Counts where an UPDATE names none; RFC 4271 leaves it to the receiver. */
    private static final long DEFAULT_LOCAL_PREFERENCE = 100;

    /** Hold times of 1 and 2 seconds are not allowed. */
    private static final int MIN_HOLD_SECONDS = 3;

    private static final int SUBCODE_NOT_SYNCHRONIZED = 1;
    private static final int SUBCODE_BAD_MESSAGE_LENGTH = 2;
    private static final int SUBCODE_BAD_MESSAGE_TYPE = 3;
    private static final int SUBCODE_UNSPECIFIC = 0;
    private static final int SUBCODE_UNSUPPORTED_VERSION = 1;
    private static final int SUBCODE_BAD_IDENTIFIER = 3;
    private static final int SUBCODE_UNACCEPTABLE_HOLD_TIME = 6;
    private static final int SUBCODE_MALFORMED_ATTRIBUTES = 1;
    private static final int SUBCODE_MISSING_ATTRIBUTE = 3;

    private final ByteBuffer buffer = ByteBuffer.allocate(BgpFormat.MAX_MESSAGE_BYTES);

    /**
     * Takes the first {@code length} bytes; returns the messages that are complete by now, in order.
     *
     * @throws BgpException if the bytes are no messages; the connection cannot be used any more
     */
    public List<BgpMessage> feed(byte[] bytes, int length) throws BgpException {
        List<BgpMessage> messages = new ArrayList<>();
        int position = 0;
        while (position < length) {
            int wanted = wantedBytes();
            int taken = Math.min(wanted - buffer.position(), length - position);
            buffer.put(bytes, position, taken);
            position += taken;
            if (wanted == BgpFormat.HEADER_BYTES && buffer.position() == wanted) {
                checkHeader();
            }
            if (buffer.position() >= BgpFormat.HEADER_BYTES && buffer.position() == wantedBytes()) {
                messages.add(takeMessage());
            }
        }
        return messages;
    }

    /** The size of the header while that is not complete, then that of the message. */
    private int wantedBytes() {
        return buffer.position() < BgpFormat.HEADER_BYTES ? BgpFormat.HEADER_BYTES : messageBytes();
    }

    private int messageBytes() {
        return Short.toUnsignedInt(buffer.getShort(BgpFormat.LENGTH_POSITION));
    }

    private void checkHeader() throws BgpException {
        for (int i = 0; i < BgpFormat.MARKER_BYTES; i++) {
            if (buffer.get(i) != BgpFormat.MARKER) {
                throw new BgpException(BgpException.MESSAGE_HEADER_ERROR, SUBCODE_NOT_SYNCHRONIZED, "no marker");
            }
        }
        int type = buffer.get(BgpFormat.TYPE_POSITION);
        if (type < BgpFormat.TYPE_OPEN || type > BgpFormat.TYPE_KEEPALIVE) {
            throw new BgpException(
                    BgpException.MESSAGE_HEADER_ERROR, SUBCODE_BAD_MESSAGE_TYPE, "a message of type " + type);
        }
        int length = messageBytes();
        boolean longKeepalive = type == BgpFormat.TYPE_KEEPALIVE && length != BgpFormat.HEADER_BYTES;
        if (length < minBytes(type) || length > BgpFormat.MAX_MESSAGE_BYTES || longKeepalive) {
            throw new BgpException(
                    BgpException.MESSAGE_HEADER_ERROR, SUBCODE_BAD_MESSAGE_LENGTH, "a message of " + length + " bytes");
        }
    }

    private static int minBytes(int type) {
        return switch (type) {
            case BgpFormat.TYPE_OPEN -> MIN_OPEN_BYTES;
            case BgpFormat.TYPE_UPDATE -> MIN_UPDATE_BYTES;
            case BgpFormat.TYPE_NOTIFICATION -> MIN_NOTIFICATION_BYTES;
            default -> BgpFormat.HEADER_BYTES;
        };
    }

    private BgpMessage takeMessage() throws BgpException {
        ByteBuffer body = buffer.duplicate();
        body.flip().position(BgpFormat.HEADER_BYTES);
        int type = buffer.get(BgpFormat.TYPE_POSITION);
        buffer.clear();
        return decode(type, body);
    }

    private static BgpMessage decode(int type, ByteBuffer body) throws BgpException {
        try {
            return switch (type) {
                case BgpFormat.TYPE_OPEN -> decodeOpen(body);
                case BgpFormat.TYPE_UPDATE -> decodeUpdate(body);
                case BgpFormat.TYPE_NOTIFICATION -> new Notification(getByte(body), getByte(body));
                default -> new Keepalive();
            };
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            if (type == BgpFormat.TYPE_OPEN) {
                throw new BgpException(BgpException.OPEN_MESSAGE_ERROR, SUBCODE_UNSPECIFIC, "an OPEN that ends early");
            }
            throw new BgpException(
                    BgpException.UPDATE_MESSAGE_ERROR,
                    SUBCODE_MALFORMED_ATTRIBUTES,
                    "malformed attributes or prefixes");
        }
    }

    private static Open decodeOpen(ByteBuffer in) throws BgpException {
        if (in.get() != BgpFormat.VERSION) {
            throw new BgpException(BgpException.OPEN_MESSAGE_ERROR, SUBCODE_UNSUPPORTED_VERSION, "not version 4");
        }
        long asNumber = getShort(in);
        int holdSeconds = getShort(in);
        int identifier = in.getInt();
        if (holdSeconds != 0 && holdSeconds < MIN_HOLD_SECONDS) {
            throw new BgpException(
                    BgpException.OPEN_MESSAGE_ERROR,
                    SUBCODE_UNACCEPTABLE_HOLD_TIME,
                    "a hold time of " + holdSeconds + " s");
        }
        if (identifier == 0) {
            throw new BgpException(BgpException.OPEN_MESSAGE_ERROR, SUBCODE_BAD_IDENTIFIER, "an identifier of zero");
        }
        ByteBuffer parameters = getPart(in, getByte(in));
        while (parameters.hasRemaining()) {
            int type = getByte(parameters);
            ByteBuffer value = getPart(parameters, getByte(parameters));
            if (type == BgpFormat.PARAMETER_CAPABILITIES) {
                asNumber = decodeAsNumber(value, asNumber);
            }
        }
        return new Open(asNumber, holdSeconds, identifier);
    }

    /** The four-octet system number among the capabilities, or the given one; other capabilities are skipped. */
    private static long decodeAsNumber(ByteBuffer capabilities, long otherwise) {
        long asNumber = otherwise;
        while (capabilities.hasRemaining()) {
            int code = getByte(capabilities);
            ByteBuffer value = getPart(capabilities, getByte(capabilities));
            if (code == BgpFormat.CAPABILITY_FOUR_OCTET_AS) {
                asNumber = Integer.toUnsignedLong(value.getInt());
            }
        }
        return asNumber;
    }

    private static Update decodeUpdate(ByteBuffer in) throws BgpException {
        List<Prefix> withdrawn = decodePrefixes(getPart(in, getShort(in)));
        ByteBuffer attributes = getPart(in, getShort(in));
        List<Prefix> announced = decodePrefixes(in);
        int nextHop = 0;
        boolean hasNextHop = false;
        long localPreference = DEFAULT_LOCAL_PREFERENCE;
        while (attributes.hasRemaining()) {
            int flags = attributes.get();
            int type = getByte(attributes);
            boolean extended = (flags & BgpFormat.FLAG_EXTENDED_LENGTH) != 0;
            ByteBuffer value = getPart(attributes, extended ? getShort(attributes) : getByte(attributes));
            if (type == BgpFormat.ATTRIBUTE_NEXT_HOP) {
                nextHop = value.getInt();
                hasNextHop = true;
            } else if (type == BgpFormat.ATTRIBUTE_LOCAL_PREFERENCE) {
                localPreference = Integer.toUnsignedLong(value.getInt());
            }
        }
        if (!announced.isEmpty() && !hasNextHop) {
            throw new BgpException(BgpException.UPDATE_MESSAGE_ERROR, SUBCODE_MISSING_ATTRIBUTE, "no next hop");
        }
        return new Update(withdrawn, announced, nextHop, localPreference);
    }

    private static List<Prefix> decodePrefixes(ByteBuffer in) {
        List<Prefix> prefixes = new ArrayList<>();
        while (in.hasRemaining()) {
            int length = getByte(in);
            int addressBytes = (length + Byte.SIZE - 1) / Byte.SIZE;
            int address = 0;
            for (int i = 0; i < addressBytes; i++) {
                int shift = Math.max(0, Integer.SIZE - Byte.SIZE - Byte.SIZE * i);
                address |= getByte(in) << shift;
            }
            prefixes.add(new Prefix(address, length));
        }
        return prefixes;
    }

    private static int getByte(ByteBuffer in) {
        return Byte.toUnsignedInt(in.get());
    }

    private static int getShort(ByteBuffer in) {
        return Short.toUnsignedInt(in.getShort());
    }

    private static ByteBuffer getPart(ByteBuffer in, int length) {
        if (length > in.remaining()) {
            throw new IllegalArgumentException("longer than what holds it");
        }
        ByteBuffer part = in.slice(in.position(), length);
        in.position(in.position() + length);
        return part;
    }
}
