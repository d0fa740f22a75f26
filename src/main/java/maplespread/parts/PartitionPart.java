package maplespread.parts;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import maplespread.caller.Turns;
import maplespread.config.Config;
import maplespread.config.Operator;
import maplespread.config.PartitionSettings;
import maplespread.console.Calls.Call;
import maplespread.partition.TableError;
import maplespread.partition.client.Fleet;
import maplespread.partition.client.Keeper;
import maplespread.routes.RouteSink;
import org.tinylog.Logger;

/** Jobs go to partitions of the workers, and those of one key in order over the whole fleet. */
final class PartitionPart implements Part {
    private final Config begun;
    private final Host host;
    private final GroupPart group;
    private final String groupHost;
    private PartitionSettings set;
    private Keeper keeper;

    PartitionPart(PartitionSettings set, Config config, String groupAddress, Host host, GroupPart group) {
        this.set = set;
        this.host = host;
        this.group = group;
        begun = config;
        groupHost = groupAddress.substring(0, groupAddress.lastIndexOf(':'));
    }

    /** Comes before all else is asked of this part. */
    @Override
    public RouteSink routes(RouteSink next) {
        Fleet fleet = new Fleet(next, begun.names());
        try {
            keeper = new Keeper(
                    set,
                    new Keeper.Ground(host::config, this::ties, host::serving, this::address, host.relay(), fleet));
        } catch (TableError e) { // checked when the files were read
            throw new IllegalArgumentException(e);
        }
        return fleet;
    }

    private Keeper.Ties ties() {
        GroupPart.Joined j = group.joined();
        return j == null ? null : new Keeper.Ties(j.group(), j.register());
    }

    /** Null before the listener is bound. */
    private String address() {
        InetSocketAddress bound = host.listens();
        if (bound == null || !set.address().isEmpty()) {
            return bound == null ? null : set.address();
        }
        return (bound.getAddress().isAnyLocalAddress()
                        ? groupHost
                        : bound.getAddress().getHostAddress())
                + ':'
                + bound.getPort();
    }

    @Override
    public void serving() {
        keeper.start();
    }

    @Override
    public Turns turns() {
        return keeper.turns();
    }

    @Override
    public Collection<String> peers() {
        return keeper.peers();
    }

    @Override
    public void reload(Config config, Operator next) {
        if (next.partition() == null) {
            Logger.warn("operator: partition is taken out only by a restart");
            return;
        }
        if (!set.needingRestart(next.partition()).isEmpty()) {
            Logger.warn("operator: changed, but taken up only by a restart: {}", set.needingRestart(next.partition()));
        }
        keeper.file(next.partition());
    }

    @Override
    public Map<String, Call> calls() {
        return keeper.calls();
    }

    @Override
    public void stop() {
        keeper.leave();
    }

    @Override
    public void close() {
        keeper.close();
    }
}
