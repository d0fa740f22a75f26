package maplespread.release.client;

import java.util.OptionalLong;
import java.util.function.Supplier;
import maplespread.log.Event;

/**
 * Drains this instance and returns it to service, for the release or by an operator's call. Once a planned outage was
 * cancelled here, later drains by it are rejected. Thread-safe: drains and cancellations are serialized.
 */
final class LocalDrain {
    /** The result of an operator's drain. */
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

    /** Returns to service and rejects each later drain by this outage. */
    synchronized void cancel(long outageNumber) {
        lastCancelledOutage = Math.max(lastCancelledOutage, outageNumber);
        // A drain forced by an operator continues, but the outage ends nevertheless.
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

    /** Drains regardless of the agreed state, until {@link #resume}; returns false where it is not in service. */
    synchronized boolean force() {
        if (!instance.quiesce()) {
            return false;
        }
        forcedByOperator = true;
        return true;
    }

    /**
     * Ends a drain, including an operator's; returns false where the instance is not in service.
     *
     * @param grantedOutage supplies, under the lock, the granted outage to cancel
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
