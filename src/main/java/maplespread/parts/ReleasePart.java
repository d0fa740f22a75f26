package maplespread.parts;

import java.util.List;
import java.util.Map;
import maplespread.agreement.Value;
import maplespread.agreement.client.Register;
import maplespread.config.Config;
import maplespread.config.Operator;
import maplespread.console.Calls.Call;
import maplespread.registry.RegistrySettings;
import maplespread.release.Limits;
import maplespread.release.View;
import maplespread.release.client.Releases;
import maplespread.release.client.Sight;
import maplespread.release.client.Workers;
import maplespread.routes.RouteSink;
import org.tinylog.Logger;

/** Who may be out at once is agreed over the group: drains by call, and releases. */
final class ReleasePart implements Part {
    private final Host host;
    private final GroupPart group;
    private final Releases releases;
    private Limits limits;
    private Sight sight;

    ReleasePart(Limits limits, RegistrySettings registry, Config config, Host host, GroupPart group) {
        this.limits = limits;
        this.host = host;
        this.group = group;
        releases = new Releases(config.name(), new Fleet(), new Workers(registry), limits);
    }

    private final class Fleet implements Releases.Fleet {
        @Override
        public Register register() {
            GroupPart.Joined j = group.joined();
            return j == null ? null : j.register();
        }

        @Override
        public View view() {
            GroupPart.Joined j = group.joined();
            if (j == null) {
                return new View(List.of(), View.Service.NONE);
            }
            Value agreed = j.register().known();
            return sight.view(
                            j.group().members(),
                            j.statuses(),
                            host.config(),
                            GroupPart.nowMs(),
                            System.currentTimeMillis())
                    .among(agreed == null ? List.of() : agreed.electors());
        }

        @Override
        public long run() {
            GroupPart.Joined j = group.joined();
            return j == null ? 0 : j.group().boot();
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
    public RouteSink routes(RouteSink next) {
        sight = new Sight(next);
        return sight;
    }

    @Override
    public void serving() {
        releases.start();
    }

    @Override
    public void reload(Config config, Operator next) {
        if (next.release() == null) {
            Logger.warn("operator: release is taken out only by a restart");
        } else if (!next.release().equals(limits)) {
            limits = next.release();
            releases.limits(limits);
        }
    }

    @Override
    public Map<String, Call> calls() {
        return releases.calls();
    }

    @Override
    public void close() {
        releases.close();
    }
}
