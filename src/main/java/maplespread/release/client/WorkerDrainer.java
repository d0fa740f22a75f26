package maplespread.release.client;

import java.io.Closeable;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import maplespread.log.Event;
import maplespread.registry.RegistrySettings;
import maplespread.registry.client.RegistryAdmin;
import maplespread.release.RolloutAction;

/**
 * Drains workers and returns them to service at the registry that the endpoints come from, where the registry has
 * writable keys. Runs one action at a time on its own daemon thread: a slow registry must not delay the release.
 */
public final class WorkerDrainer implements Closeable {
    private static final long THREAD_STACK_BYTES = 144 * 1024;
    private static final long THREAD_KEEP_ALIVE_S = 10;
    private static final int MAX_QUEUED_ACTIONS = 64;
    /** Limits the calls to the registry, because the controller repeats its actions more often. */
    private static final long RETRY_INTERVAL_MS = 2_000;

    /** The registry to change; null: none, and an operator has to act. */
    private final RegistrySettings registry;
    /** Times of the last attempts, by action and outage; used only by the thread that submits actions. */
    private final Map<String, Long> attemptedAtMs = new HashMap<>();

    private final ThreadPoolExecutor executor;

    /** {@code registry} is null where there is none. */
    public WorkerDrainer(RegistrySettings registry) {
        boolean hasKeys = registry != null && registry.dialect() != RegistrySettings.Dialect.CONSUL_HEALTH;
        this.registry = hasKeys ? registry : null;
        executor = new ThreadPoolExecutor(
                0,
                1,
                THREAD_KEEP_ALIVE_S,
                TimeUnit.SECONDS,
                new ArrayBlockingQueue<>(MAX_QUEUED_ACTIONS),
                WorkerDrainer::daemon);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "release workers", THREAD_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Whether workers are drained at a registry; otherwise an operator has to act. */
    boolean usesRegistry() {
        return registry != null;
    }

    /** Drains a worker where {@code permitted}, evaluated on this drainer's thread just before the drain, is true. */
    void drain(RolloutAction action, BooleanSupplier permitted) {
        submit("drain ", action, admin -> {
            if (permitted.getAsBoolean() && admin.drain(action.member(), action.incarnation(), action.outageNumber())) {
                Event.of("release.worker_drained", "worker", action.member(), "leave", action.outageNumber())
                        .info();
            }
        });
    }

    /** Runs {@code cancelled} on this drainer's thread once no later drain by this outage can be carried out. */
    void cancelDrain(RolloutAction action, Runnable cancelled) {
        submit("recall ", action, admin -> {
            if (admin.cancelDrain(action.member(), action.incarnation(), action.outageNumber())) {
                Event.of("release.worker_taken_back", "worker", action.member(), "leave", action.outageNumber())
                        .info();
                cancelled.run();
            }
        });
    }

    private interface RegistryTask {
        void run(RegistryAdmin admin) throws RegistryAdmin.RegistryAdminException;
    }

    private void submit(String kind, RolloutAction action, RegistryTask task) {
        long nowMs = MonotonicClock.nowMs();
        attemptedAtMs.values().removeIf(atMs -> nowMs - atMs > RETRY_INTERVAL_MS);
        if (attemptedAtMs.putIfAbsent(kind + action.outageNumber(), nowMs) != null) {
            return;
        }
        try {
            executor.execute(() -> run(action, task));
        } catch (RejectedExecutionException e) {
            // The queue is full; the controller repeats the action.
        }
    }

    private void run(RolloutAction action, RegistryTask task) {
        try (RegistryAdmin admin = new RegistryAdmin(registry)) {
            task.run(admin);
        } catch (RegistryAdmin.RegistryAdminException e) {
            Event.of("release.worker_not_done", "worker", action.member(), "why", e.getMessage())
                    .warn();
        } catch (RuntimeException e) {
            Event.of("release.fault", "why", e).error();
        }
    }

    /** Stops the thread and discards queued actions. */
    @Override
    public void close() {
        executor.shutdownNow();
    }
}
