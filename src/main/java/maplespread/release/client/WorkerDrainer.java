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
 * Workers are drained, and taken back, at the registry that the routes come from, where it holds keys that
 * can be changed. One order after the other, on a thread of its own: a slow registry must not hold up the
 * release.
 */
public final class WorkerDrainer implements Closeable {
    private static final long STACK = 144 * 1024;
    private static final int WAITING = 64;
    private static final long AGAIN_MS = 2_000;
    private final RegistrySettings registry; // null: by an operator's hand
    private final Map<String, Long> triedAt = new HashMap<>(); // the driver's thread alone
    private final ThreadPoolExecutor work;

    /** {@code registry}: null where there is none. */
    public WorkerDrainer(RegistrySettings registry) {
        boolean keys = registry != null && registry.dialect() != RegistrySettings.Dialect.CONSUL_HEALTH;
        this.registry = keys ? registry : null;
        work = new ThreadPoolExecutor(0, 1, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(WAITING), task -> {
            Thread t = new Thread(null, task, "release workers", STACK);
            t.setDaemon(true);
            return t;
        });
    }

    boolean byRegistry() {
        return registry != null;
    }

    /** {@code stands}: asked just before. */
    void drain(RolloutAction order, BooleanSupplier stands) {
        once("drain ", order, admin -> {
            if (stands.getAsBoolean() && admin.drain(order.member(), order.incarnation(), order.outageNumber())) {
                Event.of("release.worker_drained", "worker", order.member(), "leave", order.outageNumber())
                        .info();
            }
        });
    }

    /** {@code sure}: told when no later drain by this leave can be made. */
    void recall(RolloutAction order, Runnable sure) {
        once("recall ", order, admin -> {
            if (admin.cancelDrain(order.member(), order.incarnation(), order.outageNumber())) {
                Event.of("release.worker_taken_back", "worker", order.member(), "leave", order.outageNumber())
                        .info();
                sure.run();
            }
        });
    }

    private interface Task {
        void run(RegistryAdmin admin) throws RegistryAdmin.RegistryAdminException;
    }

    /** Orders come again and again; each is tried every other second. */
    private void once(String what, RolloutAction order, Task task) {
        long now = System.nanoTime() / 1_000_000;
        triedAt.values().removeIf(at -> now - at > AGAIN_MS);
        if (triedAt.putIfAbsent(what + order.outageNumber(), now) != null) {
            return;
        }
        try {
            work.execute(() -> {
                try (RegistryAdmin admin = new RegistryAdmin(registry)) {
                    task.run(admin);
                } catch (RegistryAdmin.RegistryAdminException e) {
                    Event.of("release.worker_not_done", "worker", order.member(), "why", e.getMessage())
                            .warn();
                } catch (RuntimeException e) {
                    Event.of("release.fault", "why", e).error();
                }
            });
        } catch (RejectedExecutionException full) {
            // it comes again
        }
    }

    @Override
    public void close() {
        work.shutdownNow();
    }
}
