package maplespread.feature;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import maplespread.caller.RecentRequestIds;
import maplespread.caller.SharedRequestIds;
import maplespread.http.RateLimitedLogger;
import maplespread.upgrade.InstanceLock;
import maplespread.upgrade.InstanceRecord;
import maplespread.upgrade.SharedIdTables;
import org.tinylog.Logger;

/**
 * Shares this process's request ids with the other processes of the dispatcher while one replaces another, so that no
 * id is accepted by two of them. A process that has not shared its ids yet may have used any id; meanwhile this process
 * accepts no request that must not run twice. Outside an upgrade nothing is shared. Thread-safe.
 */
final class RequestIdSharing {
    private static final long NANOS_PER_MS = 1_000_000;

    /** What is known of the other processes. */
    record PeerState(boolean hasPeer, boolean idsKnown) {}

    /** Opens the shared tables. */
    interface TablesOpener {
        SharedIdTables open() throws IOException;
    }

    private final InstanceLock instanceLock;
    private final TablesOpener opener;
    private final RecentRequestIds ownIds;
    private final LongSupplier longestDeadlineMs;
    private final BooleanSupplier accepting;
    private final LongSupplier nanoTime;
    private final RateLimitedLogger rateLimitedLogger = new RateLimitedLogger();
    /** When each process whose ids are not known was last seen, on System.nanoTime. */
    private final Map<String, Long> unknownPeers = new HashMap<>();
    /** The shared tables; null while nothing is shared. */
    private SharedIdTables tables;
    /** Whether the other processes can read that this one shares its ids. */
    private boolean published;

    private long lastPeerNanos;

    /**
     * Shares nothing yet.
     *
     * @param longestDeadlineMs the longest deadline in milliseconds, evaluated at each use
     * @param accepting whether this process accepts requests
     */
    RequestIdSharing(
            InstanceLock instanceLock,
            TablesOpener opener,
            RecentRequestIds ownIds,
            LongSupplier longestDeadlineMs,
            BooleanSupplier accepting,
            LongSupplier nanoTime) {
        this.instanceLock = instanceLock;
        this.opener = opener;
        this.ownIds = ownIds;
        this.longestDeadlineMs = longestDeadlineMs;
        this.accepting = accepting;
        this.nanoTime = nanoTime;
    }

    /** Looks which other processes run now, and starts or stops sharing. */
    synchronized PeerState update() {
        List<InstanceLock.Peer> peers = instanceLock.peers();
        long nowNanos = nanoTime.getAsLong();
        if (!peers.isEmpty()) {
            lastPeerNanos = nowNanos;
            startSharing();
        } else if (tables != null && nowNanos - lastPeerNanos > ownIds.periodMs() * NANOS_PER_MS) {
            stopSharing();
        }
        for (InstanceLock.Peer peer : peers) {
            if (peer.sharesIds()) {
                unknownPeers.remove(peer.name());
            } else if (unknownPeers.containsKey(peer.name()) || mayAcceptUnseen(peer)) {
                unknownPeers.put(peer.name(), nowNanos);
            }
        }
        unknownPeers.values().removeIf(seen -> nowNanos - seen > longestDeadlineMs.getAsLong() * NANOS_PER_MS);
        if (tables != null) {
            tables.maintain();
        }
        boolean unknown = !unknownPeers.isEmpty() || !peers.isEmpty() && tables == null;
        ownIds.setOtherIdsUnknown(unknown);
        return new PeerState(!peers.isEmpty(), !unknown);
    }

    /**
     * Whether a process that does not share its ids may accept requests without knowing of this one. A process that
     * starts while this one is in service finds this one's record, and shares its ids before it accepts requests.
     */
    private boolean mayAcceptUnseen(InstanceLock.Peer peer) {
        return peer.phase() != InstanceRecord.Phase.STARTING || !accepting.getAsBoolean();
    }

    private void startSharing() {
        try {
            if (tables == null) {
                SharedIdTables opened = opener.open();
                if (!ownIds.shareWith(new TableIds(opened))) {
                    rateLimitedLogger.warn("the shared tables have no room for the ids of this process");
                    return;
                }
                tables = opened;
                Logger.info("request ids are shared with the other process of this dispatcher");
            }
            if (!published) {
                instanceLock.publishSharing(true);
                published = true;
            }
        } catch (IOException e) {
            rateLimitedLogger.warn("cannot share request ids with the other process of this dispatcher: " + e);
        }
    }

    /** Stops sharing unless a process appears that may have read that this one shares its ids. */
    private void stopSharing() {
        try {
            instanceLock.publishSharing(false);
            published = false;
        } catch (IOException e) {
            rateLimitedLogger.warn("cannot publish that request ids are no longer shared: " + e);
            return;
        }
        if (!instanceLock.hasPeer()) { // otherwise the next update publishes it again
            ownIds.stopSharing();
            tables = null;
            Logger.info("request ids are no longer shared");
        }
    }

    /** Claims ids in the tables by their hashes. */
    private final class TableIds implements SharedRequestIds {
        private final SharedIdTables claims;

        TableIds(SharedIdTables claims) {
            this.claims = claims;
        }

        @Override
        public Claim claim(long hash) {
            try {
                return switch (claims.claim(hash)) {
                    case CLAIMED -> Claim.CLAIMED;
                    case USED -> Claim.USED;
                    case FULL -> Claim.UNAVAILABLE;
                };
            } catch (IOException e) {
                rateLimitedLogger.warn("cannot claim a request id: " + e);
                return Claim.UNAVAILABLE;
            }
        }

        @Override
        public void release(long hash) {
            claims.release(hash);
        }
    }
}
