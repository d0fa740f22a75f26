package maplespread.feature;

import java.util.List;
import java.util.Map;
import maplespread.admin.AdminRoutes.Call;
import maplespread.config.Config;
import maplespread.config.OperatorConfig;
import maplespread.consensus.VersionedValue;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.discovery.EndpointListener;
import maplespread.registry.RegistrySettings;
import maplespread.release.FleetView;
import maplespread.release.Limits;
import maplespread.release.client.FleetObserver;
import maplespread.release.client.RolloutService;
import maplespread.release.client.WorkerDrainer;
import org.tinylog.Logger;

/** Who may be out at once is agreed over the group: drains by call, and releases. */
final class ReleaseFeature implements Feature {
    private final FeatureContext host;
    private final GroupFeature group;
    private final RolloutService releases;
    private Limits limits;
    private FleetObserver sight;

    ReleaseFeature(Limits limits, RegistrySettings registry, Config config, FeatureContext host, GroupFeature group) {
        this.limits = limits;
        this.host = host;
        this.group = group;
        releases = new RolloutService(config.name(), new ThisInstance(), new WorkerDrainer(registry), limits);
    }

    private final class ThisInstance implements RolloutService.LocalInstance {
        @Override
        public ReplicatedRegister register() {
            GroupFeature.JoinedGroup j = group.joined();
            return j == null ? null : j.register();
        }

        @Override
        public FleetView view() {
            GroupFeature.JoinedGroup j = group.joined();
            if (j == null) {
                return new FleetView(List.of(), FleetView.ServiceLevel.NONE);
            }
            VersionedValue agreed = j.register().decidedValue();
            return sight.observe(
                            j.group().members(),
                            j.statuses(),
                            host.config(),
                            GroupFeature.nowMs(),
                            System.currentTimeMillis())
                    .withElectors(agreed == null ? List.of() : agreed.electors());
        }

        @Override
        public long incarnation() {
            GroupFeature.JoinedGroup j = group.joined();
            return j == null ? 0 : j.group().incarnation();
        }

        @Override
        public boolean quiesce() {
            boolean done = host.quiesce();
            group.soon();
            return done;
        }

        @Override
        public boolean resume() {
            boolean done = host.resume();
            group.soon();
            return done;
        }
    }

    @Override
    public EndpointListener wrapListener(EndpointListener next) {
        sight = new FleetObserver(next);
        return sight;
    }

    @Override
    public void onServing() {
        releases.start();
    }

    @Override
    public void reload(Config config, OperatorConfig next) {
        if (next.release() == null) {
            Logger.warn("operator: release is taken out only by a restart");
        } else if (!next.release().equals(limits)) {
            limits = next.release();
            releases.updateLimits(limits);
        }
    }

    @Override
    public Map<String, Call> adminRoutes() {
        return releases.adminRoutes();
    }

    @Override
    public void close() {
        releases.close();
    }
}
