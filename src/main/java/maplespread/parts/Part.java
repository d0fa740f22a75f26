package maplespread.parts;

import java.io.Closeable;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import maplespread.caller.Turns;
import maplespread.config.Config;
import maplespread.config.Operator;
import maplespread.console.Calls;
import maplespread.decision.Dispatch;
import maplespread.facade.Ends;
import maplespread.figures.Figures;
import maplespread.routes.RouteSink;

/** One optional part of a dispatcher. Each of its words is asked in the order in which the parts stand. */
public interface Part extends Closeable {
    /** Begins, before anything is listened on; must not wait. */
    default void start() throws IOException {}

    /** The dispatcher serves from now on. */
    default void serving() {}

    /** Takes up a file that has been read and checked whole: nothing may fail here. */
    default void reload(Config config, Operator next) {}

    /** What stands before the dispatcher on the route set's way. */
    default RouteSink routes(RouteSink next) {
        return next;
    }

    /** The settings as the module is to have them. */
    default Dispatch.Settings settings(Dispatch.Settings told) {
        return told;
    }

    /** The workers as the figures show them. */
    default Figures.Hosts hosts(Figures.Hosts told) {
        return told;
    }

    /** Who hears of each job; null: this part does not. */
    default Ends ends() {
        return null;
    }

    /** What stands between a job and the module; null: this part does not. */
    default Turns turns() {
        return null;
    }

    /** Addresses of other dispatchers to which connections are kept. */
    default Collection<String> peers() {
        return List.of();
    }

    /** Its calls on the console by method and path; one of a name that is there takes that one's place. */
    default Map<String, Calls.Call> calls() {
        return Map.of();
    }

    /** About every second; must be quick. */
    default void sweep() {}

    /** The dispatcher has been told to end, and goes on serving for a while. */
    default void stop() {}

    /** The dispatcher has answered all that it took. */
    @Override
    default void close() {}
}
