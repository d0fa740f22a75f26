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
 * Drains workers, and has them serve again, at the registry that the endpoints come from, where it has keys that can be
 * changed. One action after the other, on a daemon thread of its own: a slow registry must not hold up the release.
 */
public final class WorkerDrainer implements Closeable {
    private static final long THREAD_STACK_BYTES = 144 * 1024;
    private static final long THREAD_KEEP_ALIVE_S = 10;
    private static final int MAX_QUEUED_ACTIONS = 64;
    /** The controller repeats its actions more often than a registry is to be asked. */
    private static final long RETRY_INTERVAL_MS = 2_000;

    /** Null: there is no registry that can be asked, and an operator has to act. */
    private final RegistrySettings registry;
    /** By action and outage. For the thread that calls {@link #drain} and {@link #cancelDrain} alone. */
    private final Map<String, Long> attemptedAtMs = new HashMap<>();

    private final ThreadPoolExecutor executor;

    /** {@code registry}: null where there is none. */
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

    /** Whether workers are drained at a registry; else an operator has to act. */
    boolean usesRegistry() {
        return registry != null;
    }

    /** {@code permitted}: asked just before the drain, on this drainer's thread. */
    void drain(RolloutAction action, BooleanSupplier permitted) {
        submit("drain ", action, admin -> {
            if (permitted.getAsBoolean() && admin.drain(action.member(), action.incarnation(), action.outageNumber())) {
                Event.of("release.worker_drained", "worker", action.member(), "leave", action.outageNumber())
                        .info();
            }
        });
    }

    /** {@code cancelled}: run once no later drain by this outage can be carried out, on this drainer's thread. */
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
            // The queue is full: the controller repeats the action.
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

    /** Ends the thread; actions that wait are dropped. */
    @Override
    public void close() {
        executor.shutdownNow();
    }
}
