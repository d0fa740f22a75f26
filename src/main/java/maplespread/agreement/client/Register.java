package maplespread.agreement.client;

import java.io.Closeable;
import java.util.List;
import java.util.function.Consumer;
import maplespread.agreement.AgreementSettings;
import maplespread.agreement.Change;
import maplespread.agreement.Result;
import maplespread.agreement.Value;
import maplespread.membership.client.Group;

/** The value that the fleet agrees on, for callers that wait. */
public final class Register implements Closeable {
    /** On channel 1 of the group. */
    public Register(AgreementSettings set, Group group, long seed) {
    }

    /** Blocks until it is decided or refused, or the time is over; not for a listener's thread. */
    public Result change(Change c, long waitMs) {
        return null;
    }

    /** The last decided value that this instance has heard of; null: none yet. */
    public Value known() {
        return null;
    }

    /** Whether this instance has restarted, and not yet read what a majority knows. */
    public boolean blind() {
        return true;
    }

    /** Moves to these electors, one at a time. */
    public Result electors(List<String> next, long waitMs) {
        return null;
    }

    /** An operator's call after a majority has restarted at once: begins anew. */
    public Result found(List<String> electors, long waitMs) {
        return null;
    }

    /** Hears of each value learned, in order, on a thread for that alone. */
    public void listen(Consumer<Value> listener) {
    }

    @Override public void close() {
    }
}
