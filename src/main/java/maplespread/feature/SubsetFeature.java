package maplespread.feature;

import maplespread.config.Config;
import maplespread.config.OperatorConfig;
import maplespread.discovery.EndpointListener;
import maplespread.discovery.SubsetFilter;
import maplespread.metrics.Metrics;
import maplespread.policy.PolicySettings;
import maplespread.subset.SubsetAssignment;
import org.tinylog.Logger;

/** This dispatcher uses a part of the workers, and its policy is told how many dispatchers share each of them. */
final class SubsetFeature implements Feature {
    private final SubsetAssignment assignment;
    private final FeatureContext context;
    private SubsetFilter filter;
    /** Dispatchers that share each worker; 0: as the settings say. */
    private volatile int sharingDispatchers;

    SubsetFeature(PolicySettings settings, SubsetAssignment.SubsetSettings subset, FeatureContext context) {
        assignment = new SubsetAssignment(settings.dispatcherIndex(), settings.dispatcherCount(), subset, 0);
        this.context = context;
    }

    private void setSharingDispatchers(int count) {
        sharingDispatchers = count;
        context.reapplySettings();
        Logger.info(
                "of {} dispatchers, {} share each worker of this one's subset",
                context.config().settings().dispatcherCount(),
                count);
    }

    @Override
    public EndpointListener wrapListener(EndpointListener next) {
        filter = new SubsetFilter(assignment, this::setSharingDispatchers, next);
        return filter;
    }

    @Override
    public PolicySettings adjustSettings(PolicySettings settings) {
        return sharingDispatchers > 0 ? settings.withDispatcherCount(sharingDispatchers) : settings;
    }

    @Override
    public void reload(Config config, OperatorConfig operator) {
        SubsetAssignment.SubsetSettings subset =
                operator.subset() == null ? SubsetAssignment.SubsetSettings.ALL : operator.subset();
        filter.resize(config.settings().dispatcherCount(), subset);
    }

    /** Listed are all workers; those outside the subset are no more unavailable than the others. */
    @Override
    public Metrics.HostCounts adjustHostCounts(Metrics.HostCounts counts) {
        return new Metrics.HostCounts(filter.listed(), counts.down());
    }
}
