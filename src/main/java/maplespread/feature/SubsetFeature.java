package maplespread.feature;

import java.util.function.IntConsumer;
import maplespread.config.Config;
import maplespread.config.OperatorConfig;
import maplespread.discovery.EndpointListener;
import maplespread.discovery.SubsetFilter;
import maplespread.metrics.Metrics;
import maplespread.policy.PolicySettings;
import maplespread.subset.SubsetAssignment;
import org.tinylog.Logger;

/** This dispatcher uses some of the workers alone, and the module is told who shares them. */
final class SubsetFeature implements Feature {
    private final SubsetAssignment cut;
    private final IntConsumer among;
    private SubsetFilter narrowed;
    private volatile int sharers; // of a worker; 0: as the settings say

    SubsetFeature(PolicySettings settings, SubsetAssignment.SubsetSettings wish, FeatureContext host) {
        cut = new SubsetAssignment(settings.dispatcherIndex(), settings.dispatcherCount(), wish, 0);
        among = count -> {
            sharers = count;
            host.reapplySettings();
            Logger.info(
                    "of {} dispatchers, {} share each worker of this one's subset",
                    host.config().settings().dispatcherCount(),
                    count);
        };
    }

    @Override
    public EndpointListener wrapListener(EndpointListener next) {
        narrowed = new SubsetFilter(cut, among, next);
        return narrowed;
    }

    @Override
    public PolicySettings adjustSettings(PolicySettings told) {
        return sharers > 0 ? told.withDispatcherCount(sharers) : told;
    }

    @Override
    public void reload(Config config, OperatorConfig next) {
        narrowed.resize(
                config.settings().dispatcherCount(),
                next.subset() == null ? SubsetAssignment.SubsetSettings.ALL : next.subset());
    }

    @Override
    public Metrics.HostCounts adjustHostCounts(Metrics.HostCounts told) {
        return new Metrics.HostCounts(narrowed.listed(), told.down());
    }
}
