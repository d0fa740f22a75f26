package maplespread.facade;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import maplespread.policy.PolicySettings;

/**
 * One request of a client, from its acceptance to its final response, as far as decisions go; it knows no protocol. The network code makes it and asks {@link
 * DecisionService#decide} about it. Mutable fields are guarded by the service's lock.
 */
public final class InFlightRequest {
    final int requestClass;
    final int tenant;
    final long deadlineUs;
    final double workMs;
    final double slots;
    final double memory;
    final String key;
    /** The settings whose rules hold for it to its end; null: those in force. */
    final PolicySettings acceptedSettings;

    final List<Attempt> attempts = new ArrayList<>(2);
    /** The workers that it may go to; null: any. */
    Predicate<String> eligibleWorkers;
    /** Whether it may be sent now, asked without the lock; null: always. */
    BooleanSupplier sendPermitted;

    long id;
    boolean submitted;
    /** No further attempt is made, whatever comes. */
    boolean ended;

    int attemptsInFlight;
    /** When the first attempt was decided on that may have run; 0: none may have. */
    long firstPossibleRunUs;

    Decision decision;
    Condition decisionAvailable;

    /**
     * A request under the settings in force. {@code deadlineUs}: on {@link DecisionService#nowUs}; {@code workMs}: hinted
     * work in milliseconds, NaN where no hint came; {@code key}: what it concerns, or null.
     */
    public InFlightRequest(
            int requestClass, int tenant, long deadlineUs, double workMs, double slots, double memory, String key) {
        this(requestClass, tenant, deadlineUs, workMs, slots, memory, key, null);
    }

    /** A request under {@code acceptedSettings}, whatever is in force later. */
    public InFlightRequest(
            int requestClass,
            int tenant,
            long deadlineUs,
            double workMs,
            double slots,
            double memory,
            String key,
            PolicySettings acceptedSettings) {
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.deadlineUs = deadlineUs;
        this.workMs = workMs;
        this.slots = slots;
        this.memory = memory;
        this.key = key;
        this.acceptedSettings = acceptedSettings;
    }

    /**
     * Restricts it before its first decision: to {@code workers}, and to moments at which {@code permitted} holds (null:
     * any moment), which is asked just before each send, on the request's thread.
     */
    public void restrict(Predicate<String> workers, BooleanSupplier permitted) {
        eligibleWorkers = workers;
        sendPermitted = permitted;
    }

    /** The class's number in the settings. */
    public int requestClass() {
        return requestClass;
    }

    /** The tenant's number in the settings, or -1. */
    public int tenant() {
        return tenant;
    }

    /** Hinted work in milliseconds; NaN where no hint came. */
    public double workMs() {
        return workMs;
    }

    /** Microseconds on {@link DecisionService#nowUs}. */
    public long deadlineUs() {
        return deadlineUs;
    }
}
