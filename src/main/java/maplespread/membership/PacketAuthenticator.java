package maplespread.membership;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Packets between members, authenticated by HMAC-SHA-256 (RFC 2104). A packet names its version, its key, its sender's
 * incarnation, a number that only grows, and the time at which it was sent. A packet of no known key, or one that is too
 * old or was received before, is dropped and counted; whatever the bytes, reading them throws nothing.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class PacketAuthenticator {
    /** Why a packet was dropped. An admin answer prints these names. */
    public enum DropReason {
        /** Shorter than the shortest packet. */
        SHORT,
        /** Of another version. */
        VERSION,
        /** Authenticated by a key that is not known here. */
        KEY,
        /** Forged or damaged. */
        SEAL,
        /** Sent too long ago, or by a clock that differs too much. */
        STALE,
        /** Received before, or of an ended incarnation. */
        REPLAY,
        /** Authentic, but not of a known form. */
        FORM
    }

    /**
     * What an authentic packet contains.
     *
     * @param sender the name of the member that sent it
     * @param address that member's address
     * @param channel {@link #MEMBERSHIP_CHANNEL}, or that of another part
     * @param message on the membership's channel; else null
     * @param payload on other channels; else null
     */
    public record OpenedPacket(String sender, String address, int channel, SwimMessage message, byte[] payload) {}

    /** The channel of the membership's own messages. */
    public static final int MEMBERSHIP_CHANNEL = 0;

    private static final String ALGORITHM = "HmacSHA256";
    private static final byte VERSION = 2;
    private static final int MAC_BYTES = 32;
    private static final int HEADER_BYTES = 1 + Integer.BYTES + 3 * Long.BYTES;

    private final String name;
    private final String address;
    private final long incarnation;
    private final long maxAgeMs;
    private final Map<Integer, Mac> keys = new TreeMap<>();
    private final Map<DropReason, Long> dropped = new HashMap<>();
    private final ReplayWindow received = new ReplayWindow();
    private int sendingKeyId;
    private long sentPackets;

    /**
     * Without keys: {@link #setKeys} must follow.
     *
     * @param name of this member
     * @param address of this member, as others are told it
     * @param incarnation Unix milliseconds of this process' start
     * @param maxAgeMs by how much the time in a packet may differ from this member's: clocks and delay together
     */
    public PacketAuthenticator(String name, String address, long incarnation, long maxAgeMs) {
        this.name = name;
        this.address = address;
        this.incarnation = incarnation;
        this.maxAgeMs = maxAgeMs;
    }

    /**
     * The keys that are good from now on, by id; the first one authenticates what is sent. To change keys without a gap:
     * add the new one on all members, then put it first on all, then remove the old one.
     *
     * @throws IllegalArgumentException if there is no key, or one cannot be used
     */
    public void setKeys(LinkedHashMap<Integer, byte[]> next) {
        if (next.isEmpty()) {
            throw new IllegalArgumentException("at least one key is needed");
        }
        keys.clear();
        next.forEach((id, secret) -> keys.put(id, mac(id, secret)));
        sendingKeyId = next.keySet().iterator().next();
    }

    private static Mac mac(int id, byte[] secret) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalArgumentException("key " + id + " cannot be used: " + e.getMessage());
        }
    }

    /** How many packets were dropped, by reason. */
    public Map<DropReason, Long> dropped() {
        return Map.copyOf(dropped);
    }

    /** A packet with a message of the membership; {@code wallMs}: Unix milliseconds. */
    public byte[] seal(SwimMessage message, long wallMs) {
        return seal(MEMBERSHIP_CHANNEL, SwimMessageCodec.encode(message), wallMs);
    }

    /** A packet with what another part sends on its channel; {@code wallMs}: Unix milliseconds. */
    public byte[] seal(int channel, byte[] payload, long wallMs) {
        int maxNamesBytes = 2 * SwimMessageCodec.MAX_TEXT_FIELD_BYTES;
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + maxNamesBytes + 1 + payload.length + MAC_BYTES);
        out.put(VERSION)
                .putInt(sendingKeyId)
                .putLong(incarnation)
                .putLong(++sentPackets)
                .putLong(wallMs);
        SwimMessageCodec.putText(out, name);
        SwimMessageCodec.putText(out, address);
        out.put((byte) channel).put(payload);
        out.put(authenticate(keys.get(sendingKeyId), out.array(), out.position()));
        return Arrays.copyOf(out.array(), out.position());
    }

    private static byte[] authenticate(Mac mac, byte[] bytes, int length) {
        mac.update(bytes, 0, length);
        return mac.doFinal();
    }

    /** What the first {@code length} bytes contain; null where the packet is dropped. {@code wallMs}: Unix milliseconds. */
    public OpenedPacket open(byte[] packet, int length, long wallMs) {
        if (length < HEADER_BYTES + MAC_BYTES) {
            return drop(DropReason.SHORT);
        }
        ByteBuffer input = ByteBuffer.wrap(packet, 0, length - MAC_BYTES);
        if (input.get() != VERSION) {
            return drop(DropReason.VERSION);
        }
        Mac key = keys.get(input.getInt());
        if (key == null) {
            return drop(DropReason.KEY);
        }
        byte[] expected = authenticate(key, packet, length - MAC_BYTES);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(packet, length - MAC_BYTES, length))) {
            return drop(DropReason.SEAL);
        }
        return openAuthentic(input, wallMs);
    }

    private OpenedPacket openAuthentic(ByteBuffer in, long wallMs) {
        long senderIncarnation = in.getLong();
        long number = in.getLong();
        if (Math.abs(in.getLong() - wallMs) > maxAgeMs) {
            return drop(DropReason.STALE);
        }
        try {
            String sender = SwimMessageCodec.getText(in);
            String senderAddress = SwimMessageCodec.getText(in);
            if (!received.add(sender + '\0' + senderAddress, senderIncarnation, number)) {
                return drop(DropReason.REPLAY);
            }
            return openContent(in, sender, senderAddress);
        } catch (RuntimeException e) { // the bytes end too early, or name no kind or state
            return drop(DropReason.FORM);
        }
    }

    private OpenedPacket openContent(ByteBuffer in, String sender, String senderAddress) {
        int channel = in.get();
        if (channel != MEMBERSHIP_CHANNEL) {
            byte[] payload = new byte[in.remaining()];
            in.get(payload);
            return new OpenedPacket(sender, senderAddress, channel, null, payload);
        }
        Optional<SwimMessage> message = SwimMessageCodec.decode(in);
        if (message.isEmpty()) {
            return drop(DropReason.FORM);
        }
        return new OpenedPacket(sender, senderAddress, channel, message.get(), null);
    }

    private OpenedPacket drop(DropReason reason) {
        dropped.merge(reason, 1L, Long::sum);
        return null;
    }
}
