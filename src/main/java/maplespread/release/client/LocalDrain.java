package maplespread.release.client;

import java.util.OptionalLong;
import java.util.function.Supplier;
import maplespread.log.Event;

/**
 * Drains this instance and has it serve again, by the release or by an operator's call. A drain by a planned outage
 * that was cancelled here is refused from then on. Thread-safe: no drain overtakes what cancels it.
 */
final class LocalDrain {
    /** What came of an operator's drain. */
    enum DrainResult {
        DRAINING,
        NOT_IN_SERVICE,
        /** The planned outage was cancelled in the meantime. */
        OUTAGE_CANCELLED
    }

    private final String self;
    private final RolloutService.LocalInstance instance;
    private final CancelledOutages cancelledOutages;
    private long lastCancelledOutage;
    private boolean forcedByOperator;

    LocalDrain(String self, RolloutService.LocalInstance instance, CancelledOutages cancelledOutages) {
        this.self = self;
        this.instance = instance;
        this.cancelledOutages = cancelledOutages;
    }

    /** Drains by a planned outage of the release, unless it was cancelled here. */
    synchronized void drain(long outageNumber) {
        if (outageNumber > lastCancelledOutage && instance.quiesce()) {
            Event.of("release.out", "member", self, "leave", outageNumber).info();
        }
    }

    /** Serves again, and refuses each later drain by this outage. */
    synchronized void cancel(long outageNumber) {
        lastCancelledOutage = Math.max(lastCancelledOutage, outageNumber);
        // A drain that an operator has forced stays: the outage is over all the same.
        if (forcedByOperator || instance.resume()) {
            cancelledOutages.add(outageNumber);
            Event.of("release.taken_back", "member", self, "leave", outageNumber)
                    .info();
        }
    }

    /** Drains by an operator's call that needs no planned outage. */
    synchronized DrainResult drainByOperator() {
        return instance.quiesce() ? DrainResult.DRAINING : DrainResult.NOT_IN_SERVICE;
    }

    /** Drains by an operator's call and the planned outage that was granted to it. */
    synchronized DrainResult drainByOperator(long outageNumber) {
        return outageNumber > lastCancelledOutage ? drainByOperator() : DrainResult.OUTAGE_CANCELLED;
    }

    /** Drains whatever is agreed, and stays drained until {@link #resume} is called; false outside of service. */
    synchronized boolean force() {
        if (!instance.quiesce()) {
            return false;
        }
        forcedByOperator = true;
        return true;
    }

    /**
     * Ends a drain, an operator's too; false outside of service. {@code grantedOutage}: read under the lock, and
     * cancelled.
     */
    synchronized boolean resume(Supplier<OptionalLong> grantedOutage) {
        forcedByOperator = false;
        if (!instance.resume()) {
            return false;
        }
        grantedOutage.get().ifPresent(this::cancel);
        return true;
    }
}
