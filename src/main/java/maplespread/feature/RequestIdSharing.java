package maplespread.feature;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    private final Path directory;
    private final String address;
    private final FeatureContext context;
    private final InstanceLock instanceLock;
    private final RateLimitedLogger rateLimitedLogger = new RateLimitedLogger();
    /** When each process whose ids are not known was last seen, on System.nanoTime. */
    private final Map<String, Long> unknownPeers = new HashMap<>();
    /** The shared tables; null while nothing is shared. */
    private SharedIdTables tables;

    private long lastPeerNanos;

    RequestIdSharing(Path directory, String address, FeatureContext context, InstanceLock instanceLock) {
        this.directory = directory;
        this.address = address;
        this.context = context;
        this.instanceLock = instanceLock;
    }

    private long longestDeadlineMs() {
        return context.config().times().longestDeadlineMs();
    }

    /**
     * Takes note of the processes that run now.
     *
     * @return whether the ids of all other processes are known
     */
    synchronized boolean update(List<InstanceLock.Peer> peers) {
        long nowNanos = System.nanoTime();
        if (!peers.isEmpty()) {
            lastPeerNanos = nowNanos;
            startSharing();
        } else if (tables != null
                && nowNanos - lastPeerNanos > context.requestIds().periodMs() * NANOS_PER_MS) {
            stopSharing();
        }
        for (InstanceLock.Peer peer : peers) {
            if (peer.sharesIds()) {
                unknownPeers.remove(peer.name());
            } else if (unknownPeers.containsKey(peer.name()) || mayAcceptUnseen(peer)) {
                unknownPeers.put(peer.name(), nowNanos);
            }
        }
        unknownPeers.values().removeIf(seen -> nowNanos - seen > longestDeadlineMs() * NANOS_PER_MS);
        if (tables != null) {
            tables.maintain();
        }
        boolean unknown = !unknownPeers.isEmpty() || !peers.isEmpty() && tables == null;
        context.requestIds().setOtherIdsUnknown(unknown);
        return !unknown;
    }

    /**
     * Whether a process that does not share its ids may accept requests without knowing of this one. A process that
     * starts while this one is in service finds this one's record, and shares its ids before it accepts requests.
     */
    private boolean mayAcceptUnseen(InstanceLock.Peer peer) {
        return peer.phase() != InstanceRecord.Phase.STARTING || !context.isAccepting();
    }

    private void startSharing() {
        if (tables != null) {
            return;
        }
        try {
            SharedIdTables opened = new SharedIdTables(directory, address, context.requestIds()::periodMs);
            if (!context.requestIds().shareWith(new TableIds(opened))) {
                rateLimitedLogger.warn("the shared tables have no room for the ids of this process");
                return;
            }
            tables = opened;
            instanceLock.publishSharing(true);
            Logger.info("request ids are shared with the other process of this dispatcher");
        } catch (IOException e) {
            rateLimitedLogger.warn("cannot share request ids with the other process of this dispatcher: " + e);
        }
    }

    /** Stops sharing unless a process appears that may have read that this one shares its ids. */
    private void stopSharing() {
        try {
            instanceLock.publishSharing(false);
            if (instanceLock.hasPeer()) {
                instanceLock.publishSharing(true);
                return;
            }
        } catch (IOException e) {
            rateLimitedLogger.warn("cannot publish that request ids are no longer shared: " + e);
            return;
        }
        context.requestIds().stopSharing();
        tables = null;
        Logger.info("request ids are no longer shared");
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
