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
 * What all caller legs share. {@code sizes}: how much may be held at present; {@code serving}: false from the
 * start of the shutdown on; {@code unready}: why the workers known are not to be relied on, or null; {@code
 * parting}: whether connections are to end after their present requests; {@code lastUs}: no request may last
 * beyond it; {@code ends}: hears of each job, or null; {@code turns}: gives jobs their turn, or null.
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
        BooleanSupplier serving,
        Supplier<String> notReadyReason,
        BooleanSupplier closingConnections,
        LongSupplier shutdownDeadlineUs,
        RequestListener requestListener,
        RequestSequencer sequencer) {
    /** Bodies above this length are few, and so many at once fit the heap. */
    static final int LARGE = 8 * 1024;

    private static final int LARGE_AT_ONCE = 48;

    /** With all room free. */
    public ServingContext(
            Supplier<Config> current,
            DecisionService dispatcher,
            AttemptRunner branches,
            ExecutorService transactions,
            Supplier<Config.Limits> sizes,
            Metrics figures,
            BooleanSupplier serving,
            Supplier<String> unready,
            BooleanSupplier parting,
            LongSupplier lastUs,
            RequestListener ends,
            RequestSequencer turns) {
        this(
                current,
                dispatcher,
                branches,
                transactions,
                sizes,
                new ConcurrencyLimit(() -> sizes.get().requestsInFlight()),
                new Semaphore(LARGE_AT_ONCE),
                new RecentRequestIds(() -> current.get().times().longestDeadlineMs()),
                figures,
                serving,
                unready,
                parting,
                lastUs,
                ends,
                turns);
    }

    /** What holds at present; asked once for each request, which keeps to it. */
    Config config() {
        return current.get();
    }
}
