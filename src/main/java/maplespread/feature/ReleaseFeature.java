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

/** Releases, and drains by call: who may be unavailable at once is agreed on by the group. */
final class ReleaseFeature implements Feature {
    private final FeatureContext context;
    private final GroupFeature group;
    private final RolloutService rollouts;
    private Limits limits;
    private FleetObserver observer;

    /** {@code registry}: where workers are drained; null: an operator drains them. */
    ReleaseFeature(
            Limits limits, RegistrySettings registry, Config config, FeatureContext context, GroupFeature group) {
        this.limits = limits;
        this.context = context;
        this.group = group;
        rollouts = new RolloutService(config.name(), new ThisInstance(), new WorkerDrainer(registry), limits);
    }

    private final class ThisInstance implements RolloutService.LocalInstance {
        @Override
        public ReplicatedRegister register() {
            JoinedGroup joined = group.joined();
            return joined == null ? null : joined.register();
        }

        @Override
        public FleetView view() {
            JoinedGroup joined = group.joined();
            if (joined == null) {
                return new FleetView(List.of(), FleetView.ServiceLevel.NONE);
            }
            VersionedValue agreed = joined.register().decidedValue();
            FleetView seen = observer.observe(
                    joined.transport().members(),
                    joined.statuses(),
                    context.config(),
                    GroupFeature.nowMs(),
                    System.currentTimeMillis());
            return seen.withElectors(agreed == null ? List.of() : agreed.electors());
        }

        @Override
        public long incarnation() {
            JoinedGroup joined = group.joined();
            return joined == null ? 0 : joined.transport().incarnation();
        }

        @Override
        public boolean quiesce() {
            boolean quiesced = context.quiesce();
            group.broadcastSoon();
            return quiesced;
        }

        @Override
        public boolean resume() {
            boolean resumed = context.resume();
            group.broadcastSoon();
            return resumed;
        }
    }

    @Override
    public EndpointListener wrapListener(EndpointListener next) {
        observer = new FleetObserver(next);
        return observer;
    }

    @Override
    public void onServing() {
        rollouts.start();
    }

    @Override
    public void reload(Config config, OperatorConfig operator) {
        if (operator.release() == null) {
            Logger.warn("operator: release is taken out only by a restart");
        } else if (!operator.release().equals(limits)) {
            limits = operator.release();
            rollouts.updateLimits(limits);
        }
    }

    @Override
    public Map<String, Call> adminRoutes() {
        return rollouts.adminRoutes();
    }

    @Override
    public void close() {
        rollouts.close();
    }
}
