package maplespread.feature;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
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

/** The parts that are on, in order; a new part is named here and nowhere else. */
public final class Features {
    private final List<Feature> all = new ArrayList<>();
    private final OperatorConfig begun;
    private UpgradeFeature upgrade; // null: no other process is looked for

    public Features(Config config, OperatorConfig operator, FeatureContext host) {
        begun = operator;
        if (operator.subset() != null) {
            all.add(new SubsetFeature(config.settings(), operator.subset(), host));
        }
        GroupFeature group = null;
        if (operator.group() != null) {
            group = new GroupFeature(operator.group(), config, host);
            all.add(group);
            if (operator.partition() != null) {
                all.add(new PartitionFeature(
                        operator.partition(), config, operator.group().address(), host, group));
            }
            if (operator.release() != null) {
                all.add(new ReleaseFeature(operator.release(), operator.registry(), config, host, group));
            }
        }
        if (operator.starvation() != null) {
            all.add(new StarvationFeature(operator.starvation(), config, group, host));
        }
        if (config.console() != null && config.tmp() != null) {
            upgrade = new UpgradeFeature(config, host);
            all.add(upgrade); // shares what the others leave
        }
    }

    /** Switching a part on is a restart's matter; so is most of what it holds open. */
    private static void later(String part, Object begun, Object next) {
        if (begun == null && next != null) {
            Logger.warn("operator: {} is taken up only by a restart", part);
        }
    }

    public void start() throws IOException {
        for (Feature part : all) {
            part.start();
        }
    }

    public void onServing() {
        for (Feature part : all) {
            part.onServing();
        }
    }

    public void reload(Config config, OperatorConfig next) {
        later("subset", begun.subset(), next.subset());
        later("group", begun.group(), next.group());
        later("release", begun.release(), next.release());
        later("starvation", begun.starvation(), next.starvation());
        later("partition", begun.partition(), next.partition());
        for (Feature part : all) {
            part.reload(config, next);
        }
    }

    /** What the source of routes is to report to, so that {@code last} hears what the parts leave of it. */
    public EndpointListener wrapListener(EndpointListener last) {
        EndpointListener sink = last;
        for (Feature part : all) {
            sink = part.wrapListener(sink);
        }
        return sink;
    }

    public PolicySettings adjustSettings(PolicySettings told) {
        PolicySettings settings = told;
        for (Feature part : all) {
            settings = part.adjustSettings(settings);
        }
        return settings;
    }

    public Metrics.HostCounts adjustHostCounts(Metrics.HostCounts told) {
        Metrics.HostCounts hosts = told;
        for (Feature part : all) {
            hosts = part.adjustHostCounts(hosts);
        }
        return hosts;
    }

    /** Who hears of each job; null: nobody. */
    public RequestListener requestListener() {
        for (Feature part : all) {
            if (part.requestListener() != null) {
                return part.requestListener();
            }
        }
        return null;
    }

    /** What stands between a job and the module; null: nothing. */
    public RequestSequencer requestSequencer() {
        for (Feature part : all) {
            if (part.requestSequencer() != null) {
                return part.requestSequencer();
            }
        }
        return null;
    }

    /** Addresses of other dispatchers to which connections are kept. */
    public Collection<String> peerAddresses() {
        Set<String> peers = new TreeSet<>();
        for (Feature part : all) {
            peers.addAll(part.peerAddresses());
        }
        return peers;
    }

    /** The console's calls: these, and those of the parts. */
    public AdminRoutes adminRoutes(Map<String, AdminRoutes.Call> own) {
        Map<String, AdminRoutes.Call> table = new TreeMap<>(own);
        for (Feature part : all) {
            table.putAll(part.adminRoutes());
        }
        return new AdminRoutes(table);
    }

    public void maintain() {
        for (Feature part : all) {
            part.maintain();
        }
    }

    /** Whether another process of this dispatcher lives. */
    public boolean hasPeerProcess() {
        return upgrade != null && upgrade.shared();
    }

    /** Whether another process of this dispatcher takes its clients. */
    public boolean hasServingPeerProcess() {
        return upgrade != null && upgrade.relieved();
    }

    public void beginShutdown() {
        for (Feature part : all) {
            part.beginShutdown();
        }
    }

    /** The last ones first: they stand on those before them. */
    public void close() {
        for (int i = all.size() - 1; i >= 0; i--) {
            all.get(i).close();
        }
    }
}
