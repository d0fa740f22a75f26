package maplespread.feature;

import maplespread.config.Config;
import maplespread.policy.PolicySettings;
import maplespread.upgrade.InstanceLock;
import maplespread.upgrade.InstanceRecord;
import org.tinylog.Logger;

/**
 * Another process may take this one's place: while both live, each takes part of the limits, and of what the
 * nodes share out.
 */
final class UpgradeFeature implements Feature {
    private final Config config;
    private final FeatureContext host;
    private InstanceLock presence; // null: the directory will not do
    private volatile boolean shared;

    UpgradeFeature(Config config, FeatureContext host) {
        this.config = config;
        this.host = host;
    }

    @Override
    public void start() {
        presence = InstanceLock.acquire(
                        config.tmp(),
                        config.listen().getAddress().getHostAddress()
                                + ':'
                                + config.listen().getPort())
                .orElse(null);
        maintain();
    }

    @Override
    public void maintain() {
        boolean now = presence != null && presence.hasPeer();
        if (now != shared) {
            shared = now;
            host.reapplySettings();
            Logger.info(
                    now
                            ? "another process of this dispatcher lives: shares the limits"
                            : "alone again: takes all of the limits");
        }
    }

    boolean shared() {
        return shared;
    }

    boolean relieved() {
        return presence != null && presence.hasServingPeer();
    }

    @Override
    public PolicySettings adjustSettings(PolicySettings told) {
        return shared ? told.sharedByTwoProcesses() : told;
    }

    @Override
    public void onServing() {
        say(InstanceRecord.Phase.SERVING);
    }

    @Override
    public void beginShutdown() {
        say(InstanceRecord.Phase.ENDING);
    }

    private void say(InstanceRecord.Phase state) {
        if (presence != null) {
            presence.publish(state);
        }
    }

    @Override
    public void close() {
        if (presence != null) {
            presence.close();
        }
    }
}
