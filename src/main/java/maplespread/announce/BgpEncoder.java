package maplespread.announce;

import static maplespread.announce.BgpFormat.ATTRIBUTE_AS_PATH;
import static maplespread.announce.BgpFormat.ATTRIBUTE_LOCAL_PREFERENCE;
import static maplespread.announce.BgpFormat.ATTRIBUTE_NEXT_HOP;
import static maplespread.announce.BgpFormat.ATTRIBUTE_ORIGIN;
import static maplespread.announce.BgpFormat.FLAG_WELL_KNOWN;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import maplespread.announce.BgpMessage.Keepalive;
import maplespread.announce.BgpMessage.Notification;
import maplespread.announce.BgpMessage.Open;
import maplespread.announce.BgpMessage.Prefix;
import maplespread.announce.BgpMessage.Update;

/** Writes BGP-4 messages (RFC 4271 section 4), with four-octet system numbers (RFC 6793). */
public final class BgpEncoder {
    private static final int MAX_TWO_OCTET_AS = 0xffff;

    /** IPv4 unicast (RFC 4760): its code, its length, the address family, a reserved byte, the subsequent family. */
    private static final byte[] IPV4_UNICAST_CAPABILITY = {BgpFormat.CAPABILITY_MULTIPROTOCOL, 4, 0, 1, 0, 1};

    private static final int FOUR_OCTET_AS_CAPABILITY_BYTES = 2 + Integer.BYTES;
    private static final int CAPABILITIES_BYTES = IPV4_UNICAST_CAPABILITY.length + FOUR_OCTET_AS_CAPABILITY_BYTES;

    /** The route was learned from within the system. */
    private static final byte ORIGIN_IGP = 0;

    private static final int ORIGIN_ATTRIBUTE_BYTES = 4;
    private static final int AS_PATH_ATTRIBUTE_BYTES = 3;
    private static final int NUMBER_ATTRIBUTE_BYTES = 3 + Integer.BYTES;
    private static final int ATTRIBUTES_BYTES =
            ORIGIN_ATTRIBUTE_BYTES + AS_PATH_ATTRIBUTE_BYTES + 2 * NUMBER_ATTRIBUTE_BYTES;

    private BgpEncoder() {}

    /** A message in bytes. */
    public static byte[] encode(BgpMessage message) {
        ByteBuffer out = ByteBuffer.allocate(BgpFormat.MAX_MESSAGE_BYTES);
        for (int i = 0; i < BgpFormat.MARKER_BYTES; i++) {
            out.put(BgpFormat.MARKER);
        }
        out.putShort((short) 0).put((byte) type(message));
        if (message instanceof Open open) {
            putOpen(out, open);
        } else if (message instanceof Update update) {
            putUpdate(out, update);
        } else if (message instanceof Notification notification) {
            out.put((byte) notification.code()).put((byte) notification.subcode());
        }
        out.putShort(BgpFormat.LENGTH_POSITION, (short) out.position());
        return Arrays.copyOf(out.array(), out.position());
    }

    private static int type(BgpMessage message) {
        if (message instanceof Open) {
            return BgpFormat.TYPE_OPEN;
        }
        if (message instanceof Update) {
            return BgpFormat.TYPE_UPDATE;
        }
        return message instanceof Keepalive ? BgpFormat.TYPE_KEEPALIVE : BgpFormat.TYPE_NOTIFICATION;
    }

    private static void putOpen(ByteBuffer out, Open open) {
        boolean large = open.asNumber() > MAX_TWO_OCTET_AS;
        out.put((byte) BgpFormat.VERSION);
        out.putShort((short) (large ? BgpFormat.AS_TRANS : open.asNumber()));
        out.putShort((short) open.holdSeconds());
        out.putInt(open.identifier());
        out.put((byte) (2 + CAPABILITIES_BYTES));
        out.put((byte) BgpFormat.PARAMETER_CAPABILITIES).put((byte) CAPABILITIES_BYTES);
        out.put(IPV4_UNICAST_CAPABILITY);
        out.put((byte) BgpFormat.CAPABILITY_FOUR_OCTET_AS).put((byte) Integer.BYTES);
        out.putInt((int) open.asNumber());
    }

    private static void putUpdate(ByteBuffer out, Update update) {
        out.putShort((short) bytes(update.withdrawn()));
        update.withdrawn().forEach(prefix -> putPrefix(out, prefix));
        if (update.announced().isEmpty()) {
            out.putShort((short) 0);
            return;
        }
        out.putShort((short) ATTRIBUTES_BYTES);
        putAttributeHeader(out, ATTRIBUTE_ORIGIN, 1).put(ORIGIN_IGP);
        putAttributeHeader(out, ATTRIBUTE_AS_PATH, 0);
        putAttributeHeader(out, ATTRIBUTE_NEXT_HOP, Integer.BYTES).putInt(update.nextHop());
        putAttributeHeader(out, ATTRIBUTE_LOCAL_PREFERENCE, Integer.BYTES).putInt((int) update.localPreference());
        update.announced().forEach(prefix -> putPrefix(out, prefix));
    }

    private static ByteBuffer putAttributeHeader(ByteBuffer out, int type, int length) {
        return out.put((byte) FLAG_WELL_KNOWN).put((byte) type).put((byte) length);
    }

    private static int bytes(List<Prefix> prefixes) {
        return prefixes.stream().mapToInt(prefix -> 1 + prefix.addressBytes()).sum();
    }

    private static void putPrefix(ByteBuffer out, Prefix prefix) {
        out.put((byte) prefix.length());
        for (int i = 0; i < prefix.addressBytes(); i++) {
            int shift = Integer.SIZE - Byte.SIZE - Byte.SIZE * i;
            out.put((byte) (prefix.address() >>> shift));
        }
    }
}
