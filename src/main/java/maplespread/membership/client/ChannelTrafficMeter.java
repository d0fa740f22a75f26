package maplespread.membership.client;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Packets and bytes at one member's UDP socket, by channel and direction, from its start. Bytes are those on
 * the wire: each packet counts with its IPv4 and UDP headers. May be added to and read by any thread.
 */
public final class ChannelTrafficMeter {
    /** IPv4 (20) and UDP (8) headers of each packet, in bytes. */
    public static final int HEADER_BYTES = 28;

    private static final int CHANNELS = Byte.MAX_VALUE + 1;
    /** Where packets are counted that were dropped before their channel was known. */
    private static final int DROPPED = CHANNELS;

    /** What passed in one direction. */
    public record TrafficCount(long packets, long bytes) {
        /** Both together. */
        public TrafficCount plus(TrafficCount other) {
            return new TrafficCount(packets + other.packets, bytes + other.bytes);
        }

        /** What has been added since {@code earlier}. */
        public TrafficCount since(TrafficCount earlier) {
            return new TrafficCount(packets - earlier.packets, bytes - earlier.bytes);
        }
    }

    /** One channel's two directions. */
    public record ChannelTraffic(TrafficCount in, TrafficCount out) {
        /** Both directions together. */
        public TrafficCount both() {
            return in.plus(out);
        }
    }

    private static final class Counter {
        final AtomicLongArray packets = new AtomicLongArray(CHANNELS + 1);
        final AtomicLongArray bytes = new AtomicLongArray(CHANNELS + 1);

        void add(int channel, int length) {
            packets.incrementAndGet(channel);
            bytes.addAndGet(channel, length + HEADER_BYTES);
        }

        TrafficCount of(int channel) {
            return new TrafficCount(packets.get(channel), bytes.get(channel));
        }
    }

    private final Counter in = new Counter();
    private final Counter out = new Counter();

    void received(int channel, int length) {
        in.add(channel, length);
    }

    void dropped(int length) {
        in.add(DROPPED, length);
    }

    void sent(int channel, int length) {
        out.add(channel, length);
    }

    /** Every channel that was ever used, by number; 0 is the membership's own, 128 what was dropped. */
    public Map<Integer, ChannelTraffic> byChannel() {
        Map<Integer, ChannelTraffic> all = new TreeMap<>();
        for (int channel = 0; channel <= DROPPED; channel++) {
            ChannelTraffic line = new ChannelTraffic(in.of(channel), out.of(channel));
            if (line.both().packets() > 0) {
                all.put(channel, line);
            }
        }
        return all;
    }
}
