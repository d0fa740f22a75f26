package maplespread.facade;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import maplespread.policy.PolicySettings;

/**
 * What decisions need of a client's request, from its acceptance to its final response; independent of the protocol.
 * The network code creates it and calls {@link DecisionService#decide} for it. Mutable fields are guarded by the
 * service's lock.
 */
public final class InFlightRequest {
    final int requestClass;
    final int tenant;
    final long deadlineUs;
    final double workMs;
    final double slots;
    final double memory;
    final String key;
    /** The settings that apply to the request to its end; null: the current settings. */
    final PolicySettings acceptedSettings;

    final List<Attempt> attempts = new ArrayList<>(2);
    /** The workers that the request may be sent to; null: any. */
    Predicate<String> eligibleWorkers;
    /** Whether the request may be sent now; called without the lock; null: always. */
    BooleanSupplier sendPermitted;

    long id;
    /** Whether the policy has received the request. */
    boolean submitted;
    /** Whether no further attempt is made. */
    boolean ended;

    int attemptsInFlight;
    /** When the first attempt that may have run was decided, in microseconds; 0: none may have run. */
    long firstPossibleRunUs;

    /** The decision that {@link DecisionService#decide} has not returned yet; null: none. */
    Decision decision;

    Condition decisionAvailable;

    /**
     * Creates a request to which the current settings apply.
     *
     * @param deadlineUs on the clock of {@link DecisionService#nowUs}
     * @param workMs hinted work in milliseconds; NaN: no hint
     * @param key the request's affinity key, or null
     */
    public InFlightRequest(
            int requestClass, int tenant, long deadlineUs, double workMs, double slots, double memory, String key) {
        this(requestClass, tenant, deadlineUs, workMs, slots, memory, key, null);
    }

    /** Creates a request to which {@code acceptedSettings} apply to its end; null: the current settings. */
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
     * Restricts where and when the request may be sent; to be called before its first decision.
     *
     * @param workers the workers that it may be sent to; null: any
     * @param permitted whether it may be sent now, called just before each send on the request's thread; null: always
     */
    public void restrict(Predicate<String> workers, BooleanSupplier permitted) {
        eligibleWorkers = workers;
        sendPermitted = permitted;
    }

    /** Index of the request class in the settings. */
    public int requestClass() {
        return requestClass;
    }

    /** Index of the tenant in the settings; -1: none. */
    public int tenant() {
        return tenant;
    }

    /** Hinted work in milliseconds; NaN: no hint. */
    public double workMs() {
        return workMs;
    }

    /** The deadline in microseconds, on the clock of {@link DecisionService#nowUs}. */
    public long deadlineUs() {
        return deadlineUs;
    }
}
