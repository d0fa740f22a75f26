package maplespread.parts;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.caller.Turns;
import maplespread.config.Config;
import maplespread.config.Operator;
import maplespread.console.Calls;
import maplespread.decision.Dispatch;
import maplespread.facade.Ends;
import maplespread.figures.Figures;
import maplespread.routes.RouteSink;
import org.tinylog.Logger;

/** The parts that are on, in order; a new part is named here and nowhere else. */
public final class Parts {
    private final List<Part> all = new ArrayList<>();
    private final Operator begun;
    private UpgradePart upgrade; // null: no other process is looked for

    public Parts(Config config, Operator operator, Host host) {
        begun = operator;
        if (operator.subset() != null) {
            all.add(new SubsetPart(config.settings(), operator.subset(), host));
        }
        GroupPart group = null;
        if (operator.group() != null) {
            group = new GroupPart(operator.group(), config, host);
            all.add(group);
            if (operator.partition() != null) {
                all.add(new PartitionPart(
                        operator.partition(), config, operator.group().address(), host, group));
            }
            if (operator.release() != null) {
                all.add(new ReleasePart(operator.release(), operator.registry(), config, host, group));
            }
        }
        if (operator.starvation() != null) {
            all.add(new StarvationPart(operator.starvation(), config, group, host));
        }
        if (config.console() != null && config.tmp() != null) {
            upgrade = new UpgradePart(config, host);
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
        for (Part part : all) {
            part.start();
        }
    }

    public void serving() {
        for (Part part : all) {
            part.serving();
        }
    }

    public void reload(Config config, Operator next) {
        later("subset", begun.subset(), next.subset());
        later("group", begun.group(), next.group());
        later("release", begun.release(), next.release());
        later("starvation", begun.starvation(), next.starvation());
        later("partition", begun.partition(), next.partition());
        for (Part part : all) {
            part.reload(config, next);
        }
    }

    /** What the source of routes is to report to, so that {@code last} hears what the parts leave of it. */
    public RouteSink routes(RouteSink last) {
        RouteSink sink = last;
        for (Part part : all) {
            sink = part.routes(sink);
        }
        return sink;
    }

    public Dispatch.Settings settings(Dispatch.Settings told) {
        Dispatch.Settings settings = told;
        for (Part part : all) {
            settings = part.settings(settings);
        }
        return settings;
    }

    public Figures.Hosts hosts(Figures.Hosts told) {
        Figures.Hosts hosts = told;
        for (Part part : all) {
            hosts = part.hosts(hosts);
        }
        return hosts;
    }

    /** Who hears of each job; null: nobody. */
    public Ends ends() {
        for (Part part : all) {
            if (part.ends() != null) {
                return part.ends();
            }
        }
        return null;
    }

    /** What stands between a job and the module; null: nothing. */
    public Turns turns() {
        for (Part part : all) {
            if (part.turns() != null) {
                return part.turns();
            }
        }
        return null;
    }

    /** Addresses of other dispatchers to which connections are kept. */
    public Collection<String> peers() {
        Set<String> peers = new TreeSet<>();
        for (Part part : all) {
            peers.addAll(part.peers());
        }
        return peers;
    }

    /** The console's calls: these, and those of the parts. */
    public Calls calls(Map<String, Calls.Call> own) {
        Map<String, Calls.Call> table = new TreeMap<>(own);
        for (Part part : all) {
            table.putAll(part.calls());
        }
        return new Calls(table);
    }

    public void sweep() {
        for (Part part : all) {
            part.sweep();
        }
    }

    /** Whether another process of this dispatcher lives. */
    public boolean shared() {
        return upgrade != null && upgrade.shared();
    }

    /** Whether another process of this dispatcher takes its clients. */
    public boolean relieved() {
        return upgrade != null && upgrade.relieved();
    }

    public void stop() {
        for (Part part : all) {
            part.stop();
        }
    }

    /** The last ones first: they stand on those before them. */
    public void close() {
        for (int i = all.size() - 1; i >= 0; i--) {
            all.get(i).close();
        }
    }
}
