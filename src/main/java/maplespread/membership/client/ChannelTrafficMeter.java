package maplespread.membership.client;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Packets and bytes at one member's UDP socket since its start, by channel and direction. Bytes are those on the wire:
 * each packet counts with its IPv4 and UDP headers. Any thread may add and read.
 */
public final class ChannelTrafficMeter {
    /** IPv4 (20) and UDP (8) headers of each packet, in bytes. */
    public static final int HEADER_BYTES = 28;

    private static final int CHANNELS = Byte.MAX_VALUE + 1;

    /** Counts packets that were dropped before their channel was known. */
    private static final int DROPPED = CHANNELS;

    /**
     * What passed in one direction. An admin answer prints these names.
     *
     * @param packets their number
     * @param bytes on the wire
     */
    public record TrafficCount(long packets, long bytes) {
        /** Both together. */
        public TrafficCount plus(TrafficCount other) {
            return new TrafficCount(packets + other.packets, bytes + other.bytes);
        }

        /** What was added after the earlier count. */
        public TrafficCount since(TrafficCount earlier) {
            return new TrafficCount(packets - earlier.packets, bytes - earlier.bytes);
        }
    }

    /**
     * What passed on one channel. An admin answer prints these names.
     *
     * @param in what was received
     * @param out what was sent
     */
    public record ChannelTraffic(TrafficCount in, TrafficCount out) {
        /** Both directions together. */
        public TrafficCount both() {
            return in.plus(out);
        }
    }

    private static final class DirectionCounter {
        private final AtomicLongArray packets = new AtomicLongArray(CHANNELS + 1);
        private final AtomicLongArray bytes = new AtomicLongArray(CHANNELS + 1);

        void add(int channel, int payloadBytes) {
            packets.incrementAndGet(channel);
            bytes.addAndGet(channel, payloadBytes + HEADER_BYTES);
        }

        TrafficCount of(int channel) {
            return new TrafficCount(packets.get(channel), bytes.get(channel));
        }
    }

    private final DirectionCounter in = new DirectionCounter();
    private final DirectionCounter out = new DirectionCounter();

    void received(int channel, int payloadBytes) {
        in.add(channel, payloadBytes);
    }

    void dropped(int payloadBytes) {
        in.add(DROPPED, payloadBytes);
    }

    void sent(int channel, int payloadBytes) {
        out.add(channel, payloadBytes);
    }

    /** Every channel that was ever used, by number; 0 is the membership's own, 128 what was dropped. */
    public Map<Integer, ChannelTraffic> byChannel() {
        Map<Integer, ChannelTraffic> all = new TreeMap<>();
        for (int channel = 0; channel <= DROPPED; channel++) {
            ChannelTraffic traffic = new ChannelTraffic(in.of(channel), out.of(channel));
            if (traffic.both().packets() > 0) {
                all.put(channel, traffic);
            }
        }
        return all;
    }
}
