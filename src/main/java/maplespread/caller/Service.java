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
                      Semaphore room, Set<String> inWork, BooleanSupplier serving) {
    /** {@code serving}: false from the start of the shutdown on. */
    public Service(Config config, Dispatcher dispatcher, Branches branches, ExecutorService transactions,
            BooleanSupplier serving) {
        this(config, dispatcher, branches, transactions, new Semaphore(config.sizes().transactions()),
            ConcurrentHashMap.newKeySet(), serving);
    }
}
