package maplespread.parts;

import maplespread.config.Config;
import maplespread.decision.Dispatch;
import maplespread.upgrade.Note;
import maplespread.upgrade.Presence;
import org.tinylog.Logger;

/**
 * Another process may take this one's place: while both live, each takes part of the limits, and of what the
 * nodes share out.
 */
final class UpgradePart implements Part {
    private final Config config;
    private final Host host;
    private Presence presence; // null: the directory will not do
    private volatile boolean shared;

    UpgradePart(Config config, Host host) {
        this.config = config;
        this.host = host;
    }

    @Override
    public void start() {
        presence = Presence.join(
                        config.tmp(),
                        config.listen().getAddress().getHostAddress()
                                + ':'
                                + config.listen().getPort())
                .orElse(null);
        sweep();
    }

    @Override
    public void sweep() {
        boolean now = presence != null && presence.shared();
        if (now != shared) {
            shared = now;
            host.settle();
            Logger.info(
                    now
                            ? "another process of this dispatcher lives: shares the limits"
                            : "alone again: takes all of the limits");
        }
    }

    boolean shared() {
        return shared;
    }

    boolean relieved() {
        return presence != null && presence.relieved();
    }

    @Override
    public Dispatch.Settings settings(Dispatch.Settings told) {
        return shared ? told.shared() : told;
    }

    @Override
    public void serving() {
        say(Note.State.SERVING);
    }

    @Override
    public void stop() {
        say(Note.State.ENDING);
    }

    private void say(Note.State state) {
        if (presence != null) {
            presence.say(state);
        }
    }

    @Override
    public void close() {
        if (presence != null) {
            presence.close();
        }
    }
}
