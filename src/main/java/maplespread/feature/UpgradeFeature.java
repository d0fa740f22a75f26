package maplespread.feature;

import java.net.InetSocketAddress;
import maplespread.config.Config;
import maplespread.policy.PolicySettings;
import maplespread.upgrade.InstanceLock;
import maplespread.upgrade.InstanceRecord;
import org.tinylog.Logger;

/**
 * Another process may take this one's place: while both live, each takes part of the limits, and of what the nodes
 * share out.
 */
final class UpgradeFeature implements Feature {
    private final Config config;
    private final FeatureContext context;
    /** Null: not started, or the directory cannot be used. */
    private InstanceLock instanceLock;

    private volatile boolean hasPeerProcess;

    UpgradeFeature(Config config, FeatureContext context) {
        this.config = config;
        this.context = context;
    }

    @Override
    public void start() {
        InetSocketAddress listen = config.listen();
        String address = listen.getAddress().getHostAddress() + ':' + listen.getPort();
        instanceLock = InstanceLock.acquire(config.tmp(), address).orElse(null);
        maintain();
    }

    @Override
    public void maintain() {
        boolean hasPeer = instanceLock != null && instanceLock.hasPeer();
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
