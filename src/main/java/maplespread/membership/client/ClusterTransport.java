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
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import maplespread.log.Event;
import maplespread.membership.MemberUpdate;
import maplespread.membership.MembershipSettings;
import maplespread.membership.MembershipTransport;
import maplespread.membership.PacketAuthenticator;
import maplespread.membership.PacketAuthenticator.OpenedPacket;
import maplespread.membership.SwimMembership;
import maplespread.membership.SwimMessage;

/**
 * One member of the group on a UDP socket: the membership's messages, and channels for other parts. One thread receives,
 * another ticks; both enter the {@link SwimMembership} under one lock, this object's.
 */
public final class ClusterTransport implements Closeable {
    /** Most bytes of one payload on a channel. */
    public static final int MAX_PAYLOAD_BYTES = 60 * 1024;

    private static final int MAX_PACKET_BYTES = 64 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 1024 * 1024;
    private static final long THREAD_STACK_BYTES = 144 * 1024;

    /** By how much a packet's time may differ from this member's: clocks and delay together. */
    private static final long MAX_PACKET_AGE_MS = 30_000;

    private static final long CLOSE_WAIT_MS = 1000;
    private static final long MAX_TICK_INTERVAL_MS = 1000;
    private static final long NANOS_PER_MS = 1_000_000;

    private final DatagramSocket socket;
    private final SwimMembership membership;
    private final PacketAuthenticator authenticator;
    private final List<BiConsumer<MemberUpdate, MemberUpdate>> listeners = new CopyOnWriteArrayList<>();
    private final Map<Integer, BiConsumer<String, byte[]>> channels = new ConcurrentHashMap<>();
    private final long incarnation;
    private final ChannelTrafficMeter traffic = new ChannelTrafficMeter();
    private final Thread receiveThread;
    private boolean closed;

    /** Listens at the address of the settings, and joins the group. */
    public ClusterTransport(MembershipSettings settings, LinkedHashMap<Integer, byte[]> keys, long seed)
            throws IOException {
        this(settings, settings.address(), keys, seed);
    }

    /**
     * Listens at once, and joins the group.
     *
     * @param listen the address of the socket; others are told that of the settings, which may be a proxy's
     * @param keys by id; the first one authenticates what is sent
     * @param seed of the membership's random source
     * @throws IOException if the address is in use
     * @throws IllegalArgumentException if it is no address, or a key cannot be used
     */
    public ClusterTransport(MembershipSettings settings, String listen, LinkedHashMap<Integer, byte[]> keys, long seed)
            throws IOException {
        incarnation = System.currentTimeMillis();
        authenticator = new PacketAuthenticator(settings.name(), settings.address(), incarnation, MAX_PACKET_AGE_MS);
        authenticator.setKeys(keys);
        socket = new DatagramSocket(null);
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.bind(socketAddress(listen));
        membership = new SwimMembership(settings, incarnation, seed, now(), new SocketTransport());
        receiveThread = startDaemon("membership in", this::receive);
        startDaemon("membership", this::tick);
    }

    /** Called under the lock. */
    private final class SocketTransport implements MembershipTransport {
        @Override
        public void send(String address, SwimMessage message) {
            byte[] packet = authenticator.seal(message, System.currentTimeMillis());
            transmit(PacketAuthenticator.MEMBERSHIP_CHANNEL, address, packet);
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
            listeners.forEach(listener -> listener.accept(before, after));
        }

        @Override
        public void event(boolean warning, String name, Object... pairs) {
            Event.write(warning, name, pairs);
        }
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    private static InetSocketAddress socketAddress(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException e) {
            throw new IllegalArgumentException("not an address: " + text);
        }
    }

    private static Thread startDaemon(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ------------------------------------------------------------ the group

    /** Notified of each change, before and after, under the lock: must not block, and must not call back. */
    public void addListener(BiConsumer<MemberUpdate, MemberUpdate> listener) {
        listeners.add(listener);
    }

    /** Other keys from now on; see {@link PacketAuthenticator#setKeys}. */
    public synchronized void setKeys(LinkedHashMap<Integer, byte[]> keys) {
        authenticator.setKeys(keys);
    }

    /** All members that are known, this one first, those that have departed included. */
    public synchronized List<MemberUpdate> members() {
        List<MemberUpdate> all = new ArrayList<>(List.of(membership.self()));
        all.addAll(membership.members());
        return all;
    }

    /** How many packets were dropped, by reason. */
    public synchronized Map<PacketAuthenticator.DropReason, Long> dropped() {
        return authenticator.dropped();
    }

    /** What has passed the socket so far. */
    public ChannelTrafficMeter traffic() {
        return traffic;
    }

    /** Unix milliseconds at which this member began; tells it apart from earlier ones of its name. */
    public long incarnation() {
        return incarnation;
    }

    // ------------------------------------------------------------ channels

    /**
     * Has what arrives on a channel received.
     *
     * @param receiver of the sender's name and the payload, on the receiving thread and without the lock: must not block
     * @throws IllegalArgumentException if the channel is taken, or not within 1 to 127
     */
    public void registerChannel(int channel, BiConsumer<String, byte[]> receiver) {
        if (channel < 1 || channel > Byte.MAX_VALUE || channels.putIfAbsent(channel, receiver) != null) {
            throw new IllegalArgumentException("not a free channel: " + channel);
        }
    }

    /** Sends to a member by name; false where the member is not known, the payload too long, or the socket fails. */
    public boolean send(int channel, String member, byte[] payload) {
        byte[] packet;
        String address;
        synchronized (this) {
            MemberUpdate known = membership.member(member);
            if (known == null || closed || payload.length > MAX_PAYLOAD_BYTES) {
                return false;
            }
            address = known.address();
            packet = authenticator.seal(channel, payload, System.currentTimeMillis());
        }
        return transmit(channel, address, packet);
    }

    private boolean transmit(int channel, String address, byte[] packet) {
        try {
            socket.send(new DatagramPacket(packet, packet.length, socketAddress(address)));
            traffic.sent(channel, packet.length);
            return true;
        } catch (IOException | IllegalArgumentException e) { // counts as lost on its way
            return false;
        }
    }

    // ------------------------------------------------------------ threads

    private void receive() {
        byte[] buffer = new byte[MAX_PACKET_BYTES];
        while (!socket.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                // Without the lock: the receiver may hold its own, and send.
                open(buffer, packet.getLength()).ifPresent(this::deliver);
            } catch (IOException e) {
                // the socket was closed, or fails for a moment: the next packet tells
            } catch (RuntimeException e) { // one bad message must not end the thread
                Event.of("membership.fault", "why", e).error();
            }
        }
    }

    /** Opens a packet and takes it in if it is the membership's; returns it if it is for a channel. */
    private synchronized Optional<OpenedPacket> open(byte[] packet, int length) {
        OpenedPacket opened = authenticator.open(packet, length, System.currentTimeMillis());
        if (opened == null) {
            traffic.dropped(length);
            return Optional.empty();
        }
        traffic.received(opened.channel(), length);
        if (closed) {
            return Optional.empty();
        }
        if (opened.message() == null) {
            return Optional.of(opened);
        }
        membership.receive(now(), opened.sender(), opened.address(), opened.message());
        notifyAll();
        return Optional.empty();
    }

    private void deliver(OpenedPacket opened) {
        BiConsumer<String, byte[]> receiver = channels.get(opened.channel());
        if (receiver != null) {
            receiver.accept(opened.sender(), opened.payload());
        }
    }

    private synchronized void tick() {
        while (!closed) {
            try {
                long nextTickAt = membership.tick(now());
                wait(Math.max(1, Math.min(MAX_TICK_INTERVAL_MS, nextTickAt - now())));
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) { // one failing listener must not end the thread
                Event.of("membership.fault", "why", e).error();
            }
        }
    }

    /** Tells the others that this member leaves, then ends the threads. */
    @Override
    public void close() {
        synchronized (this) {
            if (closed) {
                return;
            }
            membership.leave(now());
            closed = true;
            notifyAll();
        }
        socket.close();
        if (Thread.currentThread() != receiveThread) {
            try {
                receiveThread.join(CLOSE_WAIT_MS); // until then the port may not be free
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
