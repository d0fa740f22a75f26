package maplespread.caller;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import maplespread.config.Config;
import maplespread.facade.DecisionService;
import maplespread.facade.RequestListener;
import maplespread.metrics.Metrics;
import maplespread.worker.AttemptRunner;

/**
 * What all client connections share. {@code limits}: how much may be held at present.
 */
public record ServingContext(
        Supplier<Config> current,
        DecisionService dispatcher,
        AttemptRunner attemptRunner,
        ExecutorService requestThreads,
        Supplier<Config.Limits> limits,
        ConcurrencyLimit requestPermits,
        Semaphore largeBodyPermits,
        RecentRequestIds recentIds,
        Metrics metrics,
        ServiceState state,
        RequestHooks hooks) {
    /**
     * The process's state, asked anew each time. {@code serving}: false from the start of the shutdown on; {@code
     * notReadyReason}: why the endpoint list is not to be relied on, or null; {@code closingConnections}: whether
     * connections are to end after their present requests; {@code shutdownDeadlineUs}: no request may last beyond it, on
     * {@code DecisionService.nowUs}.
     */
    public record ServiceState(
            BooleanSupplier serving,
            Supplier<String> notReadyReason,
            BooleanSupplier closingConnections,
            LongSupplier shutdownDeadlineUs) {}

    /** {@code listener}: notified of each request, or null; {@code sequencer}: gives requests their turn, or null. */
    public record RequestHooks(RequestListener listener, RequestSequencer sequencer) {}

    /** Bodies above this length are few at once, so that all fit the heap. */
    static final int LARGE_BODY_BYTES = 8 * 1024;

    private static final int MAX_LARGE_BODIES = 48;

    /** With all permits free. */
    public ServingContext(
            Supplier<Config> current,
            DecisionService dispatcher,
            AttemptRunner attemptRunner,
            ExecutorService requestThreads,
            Supplier<Config.Limits> limits,
            Metrics metrics,
            ServiceState state,
            RequestHooks hooks) {
        this(
                current,
                dispatcher,
                attemptRunner,
                requestThreads,
                limits,
                new ConcurrencyLimit(() -> limits.get().requestsInFlight()),
                new Semaphore(MAX_LARGE_BODIES),
                new RecentRequestIds(() -> current.get().times().longestDeadlineMs()),
                metrics,
                state,
                hooks);
    }

    /** The configuration in force; asked once for each request, which keeps to it. */
    Config config() {
        return current.get();
    }
}
