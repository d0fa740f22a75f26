package maplespread.parts;

import java.util.function.IntConsumer;
import maplespread.config.Config;
import maplespread.config.Operator;
import maplespread.decision.Dispatch;
import maplespread.figures.Figures;
import maplespread.routes.RouteSink;
import maplespread.routes.SubsetFilter;
import maplespread.subset.Cut;
import org.tinylog.Logger;

/** This dispatcher uses some of the workers alone, and the module is told who shares them. */
final class SubsetPart implements Part {
    private final Cut cut;
    private final IntConsumer among;
    private SubsetFilter narrowed;
    private volatile int sharers; // of a worker; 0: as the settings say

    SubsetPart(Dispatch.Settings settings, Cut.Wish wish, Host host) {
        cut = new Cut(settings.index(), settings.balancers(), wish, 0);
        among = count -> {
            sharers = count;
            host.settle();
            Logger.info(
                    "of {} dispatchers, {} share each worker of this one's subset",
                    host.config().settings().balancers(),
                    count);
        };
    }

    @Override
    public RouteSink routes(RouteSink next) {
        narrowed = new SubsetFilter(cut, among, next);
        return narrowed;
    }

    @Override
    public Dispatch.Settings settings(Dispatch.Settings told) {
        return sharers > 0 ? told.among(sharers) : told;
    }

    @Override
    public void reload(Config config, Operator next) {
        narrowed.fleet(config.settings().balancers(), next.subset() == null ? Cut.Wish.ALL : next.subset());
    }

    @Override
    public Figures.Hosts hosts(Figures.Hosts told) {
        return new Figures.Hosts(narrowed.listed(), told.down());
    }
}
