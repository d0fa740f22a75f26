package maplespread.feature;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.admin.AdminRoutes;
import maplespread.caller.RequestSequencer;
import maplespread.config.Config;
import maplespread.config.OperatorConfig;
import maplespread.discovery.EndpointListener;
import maplespread.facade.RequestListener;
import maplespread.metrics.Metrics;
import maplespread.policy.PolicySettings;
import org.tinylog.Logger;

/**
 * The optional features that are on, in order. A new feature is named here and nowhere else, so that the classes of one
 * that is off are not loaded. Each method asks the features in turn, on the caller's thread.
 */
public final class Features {
    private final List<Feature> features = new ArrayList<>();
    private final OperatorConfig atStart;
    /** Null: no other process of this dispatcher is looked for. */
    private UpgradeFeature upgrade;

    /** Creates what the operators' file turns on; nothing is started. */
    public Features(Config config, OperatorConfig operator, FeatureContext context) {
        atStart = operator;
        if (operator.subset() != null) {
            features.add(new SubsetFeature(config.settings(), operator.subset(), context));
        }
        GroupFeature group = null;
        if (operator.group() != null) {
            group = new GroupFeature(operator.group(), config, context);
            features.add(group);
            if (operator.partition() != null) {
                features.add(new PartitionFeature(
                        operator.partition(), config, operator.group().address(), context, group));
            }
            if (operator.release() != null) {
                features.add(new ReleaseFeature(operator.release(), operator.registry(), config, context, group));
            }
        }
        if (operator.starvation() != null) {
            features.add(new StarvationFeature(operator.starvation(), config, group, context));
        }
        if (config.console() != null && config.tmp() != null) {
            upgrade = new UpgradeFeature(config, context);
            features.add(upgrade); // the last: it shares what the others leave of the settings
        }
    }

    /** Starts all, before the dispatcher listens for clients. */
    public void start() throws IOException {
        for (Feature feature : features) {
            feature.start();
        }
    }

    /** The dispatcher is about to listen for clients; waits for what a feature needs before, for a bounded time. */
    public void beforeServing() throws InterruptedException {
        for (Feature feature : features) {
            feature.beforeServing();
        }
    }

    /** The dispatcher serves clients from now on. */
    public void onServing() {
        for (Feature feature : features) {
            feature.onServing();
        }
    }

    /** Takes up files that have been read and checked as a whole. */
    public void reload(Config config, OperatorConfig operator) {
        warnIfTurnedOn("subset", atStart.subset(), operator.subset());
        warnIfTurnedOn("group", atStart.group(), operator.group());
        warnIfTurnedOn("release", atStart.release(), operator.release());
        warnIfTurnedOn("starvation", atStart.starvation(), operator.starvation());
        warnIfTurnedOn("partition", atStart.partition(), operator.partition());
        for (Feature feature : features) {
            feature.reload(config, operator);
        }
    }

    private static void warnIfTurnedOn(String feature, Object atStart, Object now) {
        if (atStart == null && now != null) {
            Logger.warn("operator: {} is taken up only by a restart", feature);
        }
    }

    /** The listener for the source of endpoints, so that {@code last} gets what the features leave. */
    public EndpointListener wrapListener(EndpointListener last) {
        EndpointListener wrapped = last;
        for (Feature feature : features) {
            wrapped = feature.wrapListener(wrapped);
        }
        return wrapped;
    }

    /** The settings as the policy is to have them. */
    public PolicySettings adjustSettings(PolicySettings settings) {
        PolicySettings adjusted = settings;
        for (Feature feature : features) {
            adjusted = feature.adjustSettings(adjusted);
        }
        return adjusted;
    }

    /** The workers as the metrics show them. */
    public Metrics.HostCounts adjustHostCounts(Metrics.HostCounts counts) {
        Metrics.HostCounts adjusted = counts;
        for (Feature feature : features) {
            adjusted = feature.adjustHostCounts(adjusted);
        }
        return adjusted;
    }

    /** The first feature's that has one, or null: nobody is notified of requests. */
    public RequestListener requestListener() {
        for (Feature feature : features) {
            Optional<RequestListener> found = feature.requestListener();
            if (found.isPresent()) {
                return found.get();
            }
        }
        return null;
    }

    /** The first feature's that has one, or null: requests are not ordered. */
    public RequestSequencer requestSequencer() {
        for (Feature feature : features) {
            Optional<RequestSequencer> found = feature.requestSequencer();
            if (found.isPresent()) {
                return found.get();
            }
        }
        return null;
    }

    /** Addresses of other dispatchers to which connections are kept. */
    public Collection<String> peerAddresses() {
        Set<String> addresses = new TreeSet<>();
        for (Feature feature : features) {
            addresses.addAll(feature.peerAddresses());
        }
        return addresses;
    }

    /** All admin calls: the dispatcher's, and those of the features, which go before them. */
    public AdminRoutes adminRoutes(Map<String, AdminRoutes.Call> ofDispatcher) {
        Map<String, AdminRoutes.Call> calls = new TreeMap<>(ofDispatcher);
        for (Feature feature : features) {
            calls.putAll(feature.adminRoutes());
        }
        return new AdminRoutes(calls);
    }

    /** To be called about once a second. */
    public void maintain() {
        for (Feature feature : features) {
            feature.maintain();
        }
    }

    /** Whether another process of this dispatcher lives. */
    public boolean hasPeerProcess() {
        return upgrade != null && upgrade.hasPeerProcess();
    }

    /** Whether another process of this dispatcher accepts its clients. */
    public boolean hasServingPeerProcess() {
        return upgrade != null && upgrade.hasServingPeerProcess();
    }

    /** The dispatcher has been told to end, and goes on serving for a while. */
    public void beginShutdown() {
        for (Feature feature : features) {
            feature.beginShutdown();
        }
    }

    /** Ends all, the last one first: features depend on those before them. */
    public void close() {
        for (int i = features.size() - 1; i >= 0; i--) {
            features.get(i).close();
        }
    }
}
