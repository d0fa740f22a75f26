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
 * The UDP socket of a member. It carries the membership messages, and numbered channels for other packages. One thread
 * receives and another ticks; both call {@link SwimMembership} while holding this object's lock.
 */
public final class ClusterTransport implements Closeable {
    /** Most bytes of one payload on a channel. */
    public static final int MAX_PAYLOAD_BYTES = 60 * 1024;

    private static final int MAX_PACKET_BYTES = 64 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 1024 * 1024;
    private static final long THREAD_STACK_BYTES = 144 * 1024;

    /** Greatest difference of a packet's send time from this member's clock: clock skew plus delay. */
    private static final long MAX_PACKET_AGE_MS = 30_000;

    private static final long MAX_CLOSE_WAIT_MS = 1000;
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

    /** Binds the socket to the address in the settings, and joins the group. */
    public ClusterTransport(MembershipSettings settings, LinkedHashMap<Integer, byte[]> keys, long seed)
            throws IOException {
        this(settings, settings.address(), keys, seed);
    }

    /**
     * Binds the socket, and joins the group.
     *
     * @param listen the address of the socket; the address in the settings, which may be a proxy's, is advertised
     * @param keys the keys by id; the first one authenticates sent packets
     * @param seed the seed of the membership's random source
     * @throws IOException if the address is in use
     * @throws IllegalArgumentException if the address is invalid or a key cannot be used
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

    /** Called while the lock of the enclosing object is held. */
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
            throw new IllegalArgumentException("invalid address, expected host:port: " + text);
        }
    }

    private static Thread startDaemon(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ------------------------------------------------------------ the group

    /**
     * Adds a listener for member changes.
     *
     * @param listener receives a member's state before and after each change, with the lock held: must neither block nor
     *     call this object
     */
    public void addListener(BiConsumer<MemberUpdate, MemberUpdate> listener) {
        listeners.add(listener);
    }

    /** Replaces the keys; see {@link PacketAuthenticator#setKeys}. */
    public synchronized void setKeys(LinkedHashMap<Integer, byte[]> keys) {
        authenticator.setKeys(keys);
    }

    /** All known members, this one first, departed ones included. */
    public synchronized List<MemberUpdate> members() {
        List<MemberUpdate> all = new ArrayList<>(List.of(membership.self()));
        all.addAll(membership.members());
        return all;
    }

    /** The number of dropped packets by reason. */
    public synchronized Map<PacketAuthenticator.DropReason, Long> dropped() {
        return authenticator.dropped();
    }

    /** The traffic counters of the socket. */
    public ChannelTrafficMeter traffic() {
        return traffic;
    }

    /** Start time of this member in Unix milliseconds; distinguishes it from earlier processes with the same name. */
    public long incarnation() {
        return incarnation;
    }

    // ------------------------------------------------------------ channels

    /**
     * Registers the receiver of a channel.
     *
     * @param receiver accepts the sender's name and the payload; called on the receive thread without the lock, so it
     *     must not block
     * @throws IllegalArgumentException if the channel is already registered or not within 1 to 127
     */
    public void registerChannel(int channel, BiConsumer<String, byte[]> receiver) {
        if (channel < 1 || channel > Byte.MAX_VALUE || channels.putIfAbsent(channel, receiver) != null) {
            throw new IllegalArgumentException("channel number out of range or already registered: " + channel);
        }
    }

    /**
     * Sends a payload to a member.
     *
     * @return false if the member is unknown, the payload is too long, this transport is closed, or the socket fails
     */
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
        } catch (IOException | IllegalArgumentException e) { // treated as a lost packet
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
                // Delivers without the lock: the receiver may hold a lock of its own while it sends.
                authenticate(buffer, packet.getLength()).ifPresent(this::deliver);
            } catch (IOException e) {
                // the socket is closed, which ends the loop, or the failure is transient
            } catch (RuntimeException e) { // a single bad message must not end the thread
                Event.of("membership.fault", "why", e).error();
            }
        }
    }

    /** Authenticates a packet. Passes it to the membership, or returns it if it belongs to another channel. */
    private synchronized Optional<OpenedPacket> authenticate(byte[] packet, int length) {
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
            } catch (RuntimeException e) { // a failing listener must not end the thread
                Event.of("membership.fault", "why", e).error();
            }
        }
    }

    /** Announces that this member leaves, then ends the threads. */
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
                receiveThread.join(MAX_CLOSE_WAIT_MS); // the port may be in use until the thread ends
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
