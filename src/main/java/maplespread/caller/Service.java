package maplespread.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import maplespread.config.Config;
import maplespread.facade.Dispatcher;
import maplespread.worker.Branches;

/** What all caller legs share. */
public record Service(Config config, Dispatcher dispatcher, Branches branches, ExecutorService transactions,
                      Semaphore room, Semaphore largeRoom, Set<String> inWork, Counts counts,
                      BooleanSupplier serving) {
    /** Bodies above this length are few, and so many at once fit the heap. */
    static final int LARGE = 8 * 1024;
    private static final int LARGE_AT_ONCE = 48;

    /** {@code serving}: false from the start of the shutdown on. */
    public Service(Config config, Dispatcher dispatcher, Branches branches, ExecutorService transactions,
            BooleanSupplier serving) {
        this(config, dispatcher, branches, transactions, new Semaphore(config.sizes().transactions()),
            new Semaphore(LARGE_AT_ONCE), ConcurrentHashMap.newKeySet(), new Counts(), serving);
    }
}
