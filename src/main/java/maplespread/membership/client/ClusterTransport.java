package maplespread.membership.client;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import maplespread.log.Event;
import maplespread.membership.MemberUpdate;
import maplespread.membership.MembershipSettings;
import maplespread.membership.MembershipTransport;
import maplespread.membership.PacketAuthenticator;
import maplespread.membership.SwimMembership;
import maplespread.membership.SwimMessage;

/** One member on a UDP socket. A thread receives, another ticks; both enter the core under one lock. */
public final class ClusterTransport implements Closeable {
    /** Most bytes of one payload on a channel. */
    public static final int MAX_PAYLOAD_BYTES = 60 * 1024;

    /** The channel of the membership's own messages. */
    private static final int MEMBERSHIP = 0;

    private static final int MOST_BYTES = 64 * 1024, BUFFER = 1024 * 1024;
    private static final long STACK = 144 * 1024;
    private static final long FRESH_MS = 30_000;
    private static final long CLOSE_MS = 1000;
    private final DatagramSocket socket;
    private final SwimMembership core;
    private final PacketAuthenticator sealed;
    private final List<BiConsumer<MemberUpdate, MemberUpdate>> listeners = new CopyOnWriteArrayList<>();
    private final Map<Integer, BiConsumer<String, byte[]>> channels = new ConcurrentHashMap<>();
    private final long incarnation;
    private final ChannelTrafficMeter traffic = new ChannelTrafficMeter();
    private final Thread receives;
    private boolean over;

    /** Listens at its own address. */
    public ClusterTransport(MembershipSettings set, LinkedHashMap<Integer, byte[]> keys, long seed) throws IOException {
        this(set, set.address(), keys, seed);
    }

    /**
     * Listens at once, and joins; {@code keys} by id, the first seals. {@code listen}: where the socket is,
     * while others are told the settings' address, behind which something may stand between.
     */
    public ClusterTransport(MembershipSettings set, String listen, LinkedHashMap<Integer, byte[]> keys, long seed)
            throws IOException {
        incarnation = System.currentTimeMillis();
        sealed = new PacketAuthenticator(set.name(), set.address(), incarnation, FRESH_MS);
        sealed.setKeys(keys);
        socket = new DatagramSocket(null);
        socket.setReceiveBufferSize(BUFFER);
        socket.bind(address(listen));
        core = new SwimMembership(set, incarnation, seed, now(), new MembershipTransport() {
            @Override
            public void send(String to, SwimMessage message) {
                ClusterTransport.this.send(to, message);
            }

            @Override
            public void changed(MemberUpdate before, MemberUpdate after) {
                Event.of(
                                "membership.changed",
                                "member",
                                after.name(),
                                "state",
                                after.state(),
                                "address",
                                after.address(),
                                "incarnation",
                                after.incarnation(),
                                "by",
                                after.suspectedBy())
                        .info();
                listeners.forEach(l -> l.accept(before, after));
            }

            @Override
            public void event(boolean warning, String name, Object... pairs) {
                Event.write(warning, name, pairs);
            }
        });
        receives = daemon("membership in", this::receive);
        daemon("membership", this::tick);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException e) {
            throw new IllegalArgumentException("not an address: " + text);
        }
    }

    private static Thread daemon(String name, Runnable work) {
        Thread t = new Thread(null, work, name, STACK);
        t.setDaemon(true);
        t.start();
        return t;
    }

    /** Hears of each change, under the group's lock: must be quick, and must not call back. */
    public void addListener(BiConsumer<MemberUpdate, MemberUpdate> listener) {
        listeners.add(listener);
    }

    /** Other keys from now on; see {@link PacketAuthenticator#setKeys}. */
    public synchronized void setKeys(LinkedHashMap<Integer, byte[]> keys) {
        sealed.setKeys(keys);
    }

    /** All that are known, this one first. */
    public synchronized List<MemberUpdate> members() {
        List<MemberUpdate> all = new ArrayList<>(List.of(core.self()));
        all.addAll(core.members());
        return all;
    }

    /** How many packets were dropped for what. */
    public synchronized Map<PacketAuthenticator.DropReason, Long> dropped() {
        return sealed.dropped();
    }

    /** What has passed the socket so far. */
    public ChannelTrafficMeter traffic() {
        return traffic;
    }

    /** This run's number. */
    public long incarnation() {
        return incarnation;
    }

    /** Has what comes on a channel heard, sender and payload, on the receiving thread: must be quick. */
    public void registerChannel(int id, BiConsumer<String, byte[]> heard) {
        if (id < 1 || id > Byte.MAX_VALUE || channels.putIfAbsent(id, heard) != null) {
            throw new IllegalArgumentException("not a free channel: " + id);
        }
    }

    /** Whether it could be sent; false too for a member that is not known, or a payload too long. */
    public boolean send(int id, String member, byte[] payload) {
        byte[] packet;
        String to;
        synchronized (this) {
            MemberUpdate m = core.member(member);
            if (m == null || over || payload.length > MAX_PAYLOAD_BYTES) {
                return false;
            }
            to = m.address();
            packet = sealed.seal(id, payload, System.currentTimeMillis());
        }
        return transmit(id, to, packet);
    }

    private void send(String to, SwimMessage message) {
        transmit(MEMBERSHIP, to, sealed.seal(message, System.currentTimeMillis()));
    }

    private boolean transmit(int channel, String to, byte[] packet) {
        try {
            socket.send(new DatagramPacket(packet, packet.length, address(to)));
            traffic.sent(channel, packet.length);
            return true;
        } catch (IOException | IllegalArgumentException e) { // as good as lost on its way
            return false;
        }
    }

    private void receive() {
        byte[] buffer = new byte[MOST_BYTES];
        while (!socket.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                PacketAuthenticator.OpenedPacket o;
                synchronized (this) {
                    o = sealed.open(buffer, packet.getLength(), System.currentTimeMillis());
                    if (o == null) {
                        traffic.dropped(packet.getLength());
                        continue;
                    }
                    traffic.received(o.channel(), packet.getLength());
                    if (over) {
                        continue;
                    }
                    if (o.message() != null) {
                        core.received(now(), o.sender(), o.address(), o.message());
                        notifyAll();
                        continue;
                    }
                }
                // Not under the lock: who hears may hold its own, and send.
                BiConsumer<String, byte[]> heard = channels.get(o.channel());
                if (heard != null) {
                    heard.accept(o.sender(), o.payload());
                }
            } catch (IOException e) {
                // closed, or a passing fault of the socket: the next packet tells
            } catch (RuntimeException e) { // no one message may end the thread
                Event.of("membership.fault", "why", e).error();
            }
        }
    }

    private synchronized void tick() {
        while (!over) {
            try {
                long at = core.tick(now());
                wait(Math.max(1, Math.min(1000, at - now())));
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                Event.of("membership.fault", "why", e).error();
            }
        }
    }

    /** Says good-bye. */
    @Override
    public void close() {
        synchronized (this) {
            if (over) {
                return;
            }
            core.leave(now());
            over = true;
            notifyAll();
        }
        socket.close();
        if (Thread.currentThread() != receives) {
            try {
                receives.join(CLOSE_MS); // until then the port may not be free
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
