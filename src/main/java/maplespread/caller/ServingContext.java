package maplespread.caller;

import java.util.concurrent.ExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import maplespread.config.Config;
import maplespread.facade.DecisionService;
import maplespread.facade.RequestListener;
import maplespread.http.MemoryBudget;
import maplespread.metrics.Metrics;
import maplespread.worker.AttemptRunner;

/**
 * The objects that all client connections share.
 *
 * @param currentConfig the configuration in force
 * @param limits the limits in force
 */
public record ServingContext(
        Supplier<Config> currentConfig,
        DecisionService decisions,
        AttemptRunner attemptRunner,
        ExecutorService requestThreads,
        Supplier<Config.Limits> limits,
        ConcurrencyLimit requestPermits,
        Metrics metrics,
        ServiceState state,
        RequestHooks hooks) {
    /**
     * The process's state, evaluated at each use.
     *
     * @param serving whether the dispatcher is ready for clients; false during a drain and a shutdown
     * @param notReadyReason why the endpoint list cannot be relied on, or null
     * @param closingConnections whether each connection closes after its current request
     * @param shutdownDeadlineUs the time that no request may outlast, on {@code DecisionService.nowUs}
     */
    public record ServiceState(
            BooleanSupplier serving,
            Supplier<String> notReadyReason,
            BooleanSupplier closingConnections,
            LongSupplier shutdownDeadlineUs) {}

    /**
     * What else takes part in the processing of a request.
     *
     * @param recentIds the ids of the requests in flight and of recent ones
     * @param memory bounds the memory of all requests and of the workers' responses
     * @param listener notified of each request, or null
     * @param sequencer orders requests, or null
     */
    public record RequestHooks(
            RecentRequestIds recentIds, MemoryBudget memory, RequestListener listener, RequestSequencer sequencer) {}

    /** Creates a context with all permits available. */
    public ServingContext(
            Supplier<Config> currentConfig,
            DecisionService decisions,
            AttemptRunner attemptRunner,
            ExecutorService requestThreads,
            Supplier<Config.Limits> limits,
            Metrics metrics,
            ServiceState state,
            RequestHooks hooks) {
        this(
                currentConfig,
                decisions,
                attemptRunner,
                requestThreads,
                limits,
                new ConcurrencyLimit(() -> limits.get().requestsInFlight()),
                metrics,
                state,
                hooks);
    }

    RecentRequestIds recentIds() {
        return hooks.recentIds();
    }

    MemoryBudget memory() {
        return hooks.memory();
    }

    /** Returns the configuration in force; read once for each request, which uses it to its end. */
    Config config() {
        return currentConfig.get();
    }
}
