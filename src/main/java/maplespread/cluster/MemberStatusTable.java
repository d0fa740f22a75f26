package maplespread.cluster;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import maplespread.metrics.Metrics.Totals;

/**
 * The newest status of each member. This member's own status is sent to the others about twice a second. One thread
 * broadcasts; any thread may receive and look up statuses.
 */
public final class MemberStatusTable {
    /** Most receivers of one broadcast; the next broadcast continues with the members after them. */
    private static final int MAX_RECEIVERS_PER_BROADCAST = 64;

    /** Number of broadcasts over which a status computes its shares and mean latency. */
    private static final int WINDOW_BROADCASTS = 20;

    private static final int MAX_MEMBERS = 4096;
    private static final double NANOS_PER_MS = 1e6;

    /**
     * A received status with its time of receipt.
     *
     * @param status the member's status
     * @param receivedAtMs the time of receipt, in milliseconds of this process' clock
     */
    public record ReceivedStatus(MemberStatus status, long receivedAtMs) {}

    private final long incarnation;
    private final String version;
    private final String zone;
    private final BiConsumer<String, byte[]> sender;
    private final Map<String, ReceivedStatus> newest = new ConcurrentHashMap<>();
    private final Deque<Totals> window = new ArrayDeque<>();
    private long sequence;
    private int nextReceiver;

    /**
     * Creates an empty table.
     *
     * @param incarnation start time of this process in Unix milliseconds
     * @param version the version of this program
     * @param zone the name of this member's zone
     * @param sender sends bytes to a member by name
     */
    public MemberStatusTable(long incarnation, String version, String zone, BiConsumer<String, byte[]> sender) {
        this.incarnation = incarnation;
        this.version = version;
        this.zone = zone;
        this.sender = sender;
    }

    /** This member's status, from the difference between the current totals and those at the window's oldest broadcast. */
    private MemberStatus ownStatus(MemberStatus.Phase phase, Totals now) {
        window.addLast(now);
        if (window.size() > WINDOW_BROADCASTS) {
            window.removeFirst();
        }
        Totals oldest = window.getFirst();
        long served = now.served() - oldest.served();
        long rejected = now.busy() - oldest.busy();
        long failed = now.failed() - oldest.failed();
        long total = served + rejected + failed;
        double servedMs = Math.max(0, now.servedNanos() - oldest.servedNanos()) / NANOS_PER_MS;
        return new MemberStatus(
                incarnation,
                ++sequence,
                version,
                zone,
                phase,
                total == 0 ? 0 : (double) rejected / total,
                total == 0 ? 0 : (double) failed / total,
                served == 0 ? 0 : servedMs / served,
                total);
    }

    /**
     * Sends this member's status to the other members. Called from one thread only.
     *
     * @param self this member's name, under which the table also stores its own status
     * @param now the request totals since the start of this process
     * @param others the names of all other members
     * @param nowMs the current time, in milliseconds of this process' clock
     */
    public void broadcast(String self, MemberStatus.Phase phase, Totals now, List<String> others, long nowMs) {
        MemberStatus status = ownStatus(phase, now);
        newest.put(self, new ReceivedStatus(status, nowMs));
        byte[] bytes = status.encode();
        for (int i = 0; i < Math.min(MAX_RECEIVERS_PER_BROADCAST, others.size()); i++) {
            sender.accept(others.get(nextReceiver++ % others.size()), bytes);
        }
        nextReceiver %= Math.max(1, others.size());
    }

    /** Stores the status of another member, unless it is unreadable, older than the known one, or the table is full. */
    public void receive(String member, byte[] bytes, long nowMs) {
        Optional<MemberStatus> status = MemberStatus.decode(bytes);
        boolean full = newest.size() >= MAX_MEMBERS && !newest.containsKey(member);
        if (status.isEmpty() || full) {
            return;
        }
        newest.merge(
                member,
                new ReceivedStatus(status.get(), nowMs),
                (known, received) -> received.status().isNewerThan(known.status()) ? received : known);
    }

    /** The newest status of a member; empty if none was received. */
    public Optional<ReceivedStatus> find(String member) {
        return Optional.ofNullable(newest.get(member));
    }

    /** Removes the statuses of all members except these. */
    public void retainMembers(Collection<String> members) {
        newest.keySet().retainAll(members);
    }
}
