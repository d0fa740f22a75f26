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
 * The newest status of each member, and this member's own, which is sent to the others about twice a second. One thread
 * broadcasts; any thread may receive and look up.
 */
public final class MemberStatusTable {
    /** Most members that one broadcast reaches; the next one goes on from there. */
    private static final int MAX_RECEIVERS = 64;

    /** Broadcasts that a status looks back on. */
    private static final int WINDOW_BROADCASTS = 20;

    private static final int MAX_MEMBERS = 4096;
    private static final double NANOS_PER_MS = 1e6;

    /**
     * A status as it was received.
     *
     * @param status what the member reports
     * @param receivedAtMs when it came, in milliseconds of this process' own clock
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
     * An empty table.
     *
     * @param incarnation Unix milliseconds at which this process began
     * @param version of this program
     * @param zone the name of this member's zone
     * @param sender sends bytes to a member by name
     */
    public MemberStatusTable(long incarnation, String version, String zone, BiConsumer<String, byte[]> sender) {
        this.incarnation = incarnation;
        this.version = version;
        this.zone = zone;
        this.sender = sender;
    }

    /** This member's status: the totals now against those at the first broadcast in the window. */
    private MemberStatus ownStatus(MemberStatus.Phase phase, Totals now) {
        window.addLast(now);
        if (window.size() > WINDOW_BROADCASTS) {
            window.removeFirst();
        }
        Totals then = window.getFirst();
        long served = now.served() - then.served();
        long rejected = now.busy() - then.busy();
        long failed = now.failed() - then.failed();
        long all = served + rejected + failed;
        double servedMs = Math.max(0, now.servedNanos() - then.servedNanos()) / NANOS_PER_MS;
        return new MemberStatus(
                incarnation,
                ++sequence,
                version,
                zone,
                phase,
                all == 0 ? 0 : (double) rejected / all,
                all == 0 ? 0 : (double) failed / all,
                served == 0 ? 0 : servedMs / served,
                all);
    }

    /**
     * Sends this member's status to the others. Called from one thread.
     *
     * @param self this member's name, under which its own status is kept, too
     * @param now the totals of all requests so far
     * @param others the names of all other members
     * @param nowMs milliseconds of this process' own clock
     */
    public void broadcast(String self, MemberStatus.Phase phase, Totals now, List<String> others, long nowMs) {
        MemberStatus status = ownStatus(phase, now);
        newest.put(self, new ReceivedStatus(status, nowMs));
        byte[] bytes = status.encode();
        for (int i = 0; i < Math.min(MAX_RECEIVERS, others.size()); i++) {
            sender.accept(others.get(nextReceiver++ % others.size()), bytes);
        }
        nextReceiver %= Math.max(1, others.size());
    }

    /** Takes the status of another member, unless it is unreadable or older than the one that is known. */
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

    /** The newest status of a member; empty where none was received. */
    public Optional<ReceivedStatus> find(String member) {
        return Optional.ofNullable(newest.get(member));
    }

    /** Forgets all members but these. */
    public void retainMembers(Collection<String> members) {
        newest.keySet().retainAll(members);
    }
}
