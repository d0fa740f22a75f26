package maplespread.lab.rig;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.LongAdder;

/**
 * What lies between dispatchers that talk. Each listens where nobody is told of; the address that it gives
 * away is a socket of the rig. A packet that comes there tells by its source whose it is, so that each
 * ordered pair is a link of its own. One thread for all. What befalls the packets of a link is drawn from a
 * seed, packet by packet; which packets there are depends on the machine.
 */
public final class GroupLinks implements Closeable {
    /**
     * What a link does to a packet. {@code lost}, {@code repeated}: shares of the packets; {@code lateMs}:
     * each is held so long, and up to {@code spreadMs} more, drawn for each, so that they pass one another.
     */
    public record Trouble(boolean cut, double lost, double repeated, long lateMs, long spreadMs) {
        public static final Trouble NONE = new Trouble(false, 0, 0, 0, 0);
        public static final Trouble CUT = new Trouble(true, 0, 0, 0, 0);
    }

    private record Held(long atNanos, long order, int to, byte[] packet) {}

    private static final int MOST = 64 * 1024;
    private static final long REPEAT_MS = 200; // a copy comes up to so much later
    private final InetSocketAddress[] listen;
    private final DatagramChannel[] doors;
    private final Map<SocketAddress, Integer> whose = new HashMap<>();
    private final Trouble[][] troubles; // from, to; under the lock
    private final SplittableRandom[][] randoms;
    private final PriorityQueue<Held> held =
            new PriorityQueue<>(Comparator.comparingLong(Held::atNanos).thenComparingLong(Held::order));
    private final Selector selector = Selector.open();
    private long order;
    private volatile boolean over;
    final LongAdder passed = new LongAdder();
    final LongAdder lost = new LongAdder(); // by a cut, too
    final LongAdder repeated = new LongAdder();
    final LongAdder overtaken = new LongAdder(); // came after a later one of their link
    private final long[][] newest; // order of the last that passed, by link

    public GroupLinks(int members, long seed) throws IOException {
        listen = new InetSocketAddress[members];
        doors = new DatagramChannel[members];
        troubles = new Trouble[members][members];
        randoms = new SplittableRandom[members][members];
        newest = new long[members][members];
        InetAddress here = InetAddress.getByName("127.0.0.1");
        List<DatagramSocket> places = new ArrayList<>(); // all at once, so that none comes twice
        for (int i = 0; i < members; i++) {
            doors[i] = DatagramChannel.open().bind(new InetSocketAddress(here, 0));
            doors[i].configureBlocking(false);
            doors[i].register(selector, SelectionKey.OP_READ, i);
            DatagramSocket place = new DatagramSocket(0, here);
            places.add(place);
            listen[i] = new InetSocketAddress(here, place.getLocalPort());
            whose.put(listen[i], i);
            for (int j = 0; j < members; j++) {
                troubles[i][j] = Trouble.NONE;
                randoms[i][j] = new SplittableRandom(seed * 1_000_003 + i * 1009L + j);
            }
        }
        places.forEach(DatagramSocket::close);
        LoopbackListeners.daemon("links", this::run);
    }

    /** Where this one listens. */
    public String listen(int member) {
        return text(listen[member]);
    }

    /** The address that this one gives away. */
    public String address(int member) throws IOException {
        return text((InetSocketAddress) doors[member].getLocalAddress());
    }

    private static String text(InetSocketAddress a) {
        return "127.0.0.1:" + a.getPort();
    }

    /** What the link from one to another does from now on. */
    public synchronized void set(int from, int to, Trouble trouble) {
        troubles[from][to] = trouble;
    }

    synchronized Trouble get(int from, int to) {
        return troubles[from][to];
    }

    /** What all links do from now on. */
    public synchronized void all(Trouble trouble) {
        for (Trouble[] row : troubles) {
            java.util.Arrays.fill(row, trouble);
        }
    }

    private void run() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(MOST);
        while (!over) {
            long wait = held.isEmpty() ? 200 : (held.peek().atNanos - System.nanoTime()) / 1_000_000 + 1;
            selector.select(
                    key -> {
                        try {
                            receive((DatagramChannel) key.channel(), (int) key.attachment(), buffer);
                        } catch (IOException e) {
                            // a member that is down tells so by the next packet's error: the packet is lost
                        }
                    },
                    Math.max(1, Math.min(200, wait)));
            while (!held.isEmpty() && held.peek().atNanos <= System.nanoTime()) {
                Held h = held.remove();
                pass(h.to, ByteBuffer.wrap(h.packet));
            }
        }
    }

    private void receive(DatagramChannel door, int to, ByteBuffer buffer) throws IOException {
        while (true) {
            buffer.clear();
            SocketAddress source = door.receive(buffer);
            if (source == null) {
                return;
            }
            buffer.flip();
            Integer from = whose.get(source);
            if (from == null) { // no member's: as if it had not come
                continue;
            }
            Trouble t;
            synchronized (this) {
                t = troubles[from][to];
            }
            SplittableRandom random = randoms[from][to];
            if (t.cut || random.nextDouble() < t.lost) {
                lost.increment();
                continue;
            }
            boolean twice = random.nextDouble() < t.repeated;
            long spread = t.spreadMs > 0 ? random.nextLong(t.spreadMs * 1_000_000) : 0;
            byte[] packet = new byte[buffer.remaining()];
            buffer.get(packet);
            if (twice) {
                repeated.increment(); // before it passes: sums must not fit early
            }
            hold(from, to, packet, t.lateMs * 1_000_000 + spread);
            if (twice) {
                hold(from, to, packet, t.lateMs * 1_000_000 + random.nextLong(REPEAT_MS * 1_000_000));
            }
        }
    }

    private void hold(int from, int to, byte[] packet, long nanos) {
        long at = System.nanoTime() + nanos;
        if (nanos == 0) {
            pass(to, ByteBuffer.wrap(packet));
            at = System.nanoTime();
        } else {
            held.add(new Held(at, ++order, to, packet));
        }
        if (at < newest[from][to]) {
            overtaken.increment();
        }
        newest[from][to] = Math.max(newest[from][to], at);
    }

    private void pass(int to, ByteBuffer packet) {
        try {
            doors[to].send(packet, listen[to]);
            passed.increment();
        } catch (IOException gone) {
            lost.increment();
        }
    }

    @Override
    public void close() throws IOException {
        over = true;
        selector.wakeup();
        for (DatagramChannel door : doors) {
            door.close();
        }
        selector.close();
    }
}
