package maplespread;

import java.util.function.Consumer;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * SIGHUP. Its handler runs on a thread of the JVM's own. The platform has no public interface to signals, so this one
 * class uses {@code sun.misc}.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Has {@code handler} called at each SIGHUP, in place of the JVM's own answer, which is to exit. What stands in the
     * way is given to {@code warnings} as a sentence.
     */
    static void handle(Runnable handler, Consumer<String> warnings) {
        try {
            if (Signal.handle(new Signal("HUP"), signal -> handler.run()) == SignalHandler.SIG_IGN) {
                warnings.accept("SIGHUP was ignored when this process was started, as under nohup, and is not "
                        + "heard: start it otherwise, or restart it for a new configuration");
            }
        } catch (IllegalArgumentException e) {
            warnings.accept("SIGHUP cannot be heard here: " + e.getMessage());
        }
    }
}
