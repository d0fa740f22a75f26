package maplespread;

import java.util.function.Consumer;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP. The handler runs on a thread of the JVM. Java has no public API for signals, so this class alone uses
 * {@code sun.misc}.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Calls {@code handler} at each SIGHUP, in place of the JVM's default handling, which is to exit.
     *
     * @param warnings receives a sentence if SIGHUP cannot be handled
     */
    static void handle(Runnable handler, Consumer<String> warnings) {
        try {
            if (Signal.handle(new Signal("HUP"), signal -> handler.run()) == SignalHandler.SIG_IGN) {
                warnings.accept("SIGHUP was ignored when this process was started, as under nohup, and stays "
                        + "ignored: start it without nohup, or restart it to load a new configuration");
            }
        } catch (IllegalArgumentException e) {
            warnings.accept("SIGHUP cannot be handled on this platform: " + e.getMessage());
        }
    }
}
