package maplespread.feature;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import maplespread.caller.RecentRequestIds;
import maplespread.config.Config;
import maplespread.policy.PolicySettings;
import maplespread.upgrade.InstanceLock;
import maplespread.upgrade.InstanceRecord;
import maplespread.upgrade.SharedIdTables;
import org.tinylog.Logger;

/**
 * Another process may take this one's place: while both live, each takes part of the limits, and of what the nodes
 * share out.
 */
final class UpgradeFeature implements Feature {
    /** Time in milliseconds from its start that a process waits for the request ids of the one it replaces. */
    private static final long MAX_PEER_WAIT_MS = 2000;

    private static final long PEER_POLL_MS = 20;

    private final Config config;
    private final FeatureContext context;
    /** Null: not started, or the directory cannot be used. */
    private InstanceLock instanceLock;
    /** Null where the instance lock is. */
    private RequestIdSharing idSharing;

    private volatile boolean hasPeerProcess;
    private long startedNanos;

    UpgradeFeature(Config config, FeatureContext context) {
        this.config = config;
        this.context = context;
    }

    @Override
    public void start() {
        startedNanos = System.nanoTime();
        InetSocketAddress listen = config.listen();
        String address = listen.getAddress().getHostAddress() + ':' + listen.getPort();
        instanceLock = InstanceLock.acquire(config.tmp(), address).orElse(null);
        if (instanceLock != null) {
            RecentRequestIds ids = context.requestIds();
            idSharing = new RequestIdSharing(
                    instanceLock,
                    () -> new SharedIdTables(config.tmp(), address, ids::periodMs),
                    ids,
                    () -> context.config().times().longestDeadlineMs(),
                    context::isAccepting,
                    System::nanoTime);
        }
        maintain();
    }

    /** Waits until the other processes share their request ids, until {@link #MAX_PEER_WAIT_MS} after the start. */
    @Override
    public void beforeServing() throws InterruptedException {
        if (idSharing == null) {
            return;
        }
        long endNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(MAX_PEER_WAIT_MS);
        while (!idSharing.update().idsKnown()) {
            if (System.nanoTime() - endNanos > 0) {
                Logger.warn(
                        "another process of this dispatcher has not shared its request ids within {} ms; "
                                + "rejecting requests that must not run twice until it has",
                        MAX_PEER_WAIT_MS);
                return;
            }
            Thread.sleep(PEER_POLL_MS);
        }
    }

    @Override
    public void maintain() {
        boolean hasPeer = idSharing != null && idSharing.update().hasPeer();
        if (hasPeer != hasPeerProcess) {
            hasPeerProcess = hasPeer;
            context.reapplySettings();
            Logger.info(
                    hasPeer
                            ? "another process of this dispatcher lives: shares the limits"
                            : "alone again: takes all of the limits");
        }
    }

    /** As {@link #maintain} saw it last. */
    boolean hasPeerProcess() {
        return hasPeerProcess;
    }

    boolean hasServingPeerProcess() {
        return instanceLock != null && instanceLock.hasServingPeer();
    }

    @Override
    public PolicySettings adjustSettings(PolicySettings settings) {
        return hasPeerProcess ? settings.sharedByTwoProcesses() : settings;
    }

    @Override
    public void onServing() {
        publish(InstanceRecord.Phase.SERVING);
    }

    @Override
    public void beginShutdown() {
        publish(InstanceRecord.Phase.ENDING);
    }

    private void publish(InstanceRecord.Phase phase) {
        if (instanceLock != null) {
            instanceLock.publish(phase);
        }
    }

    @Override
    public void close() {
        if (instanceLock != null) {
            instanceLock.close();
        }
    }
}
