package maplespread.facade;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import maplespread.policy.PolicySettings;

/**
 * One request of a client, as far as decisions go; it knows no protocol. The network code makes it and asks
 * for words about it; what the dispatcher notes here is guarded by the dispatcher's lock.
 */
public final class InFlightRequest {
    final int requestClass;
    final int tenant;
    final long deadlineUs;
    final double workMs;
    final double slots;
    final double memory;
    final String key;
    final PolicySettings acceptedSettings; // whose rules hold; null: the present ones
    final List<Attempt> attempts = new ArrayList<>(2);
    Predicate<String> eligibleWorkers; // workers that it may go to; null: any
    BooleanSupplier sendPermitted; // it may be sent now; null: always
    long id;
    boolean submitted;
    boolean ended; // no further branch, whatever comes
    int attemptsInFlight; // branches without an outcome
    long firstPossibleRunUs; // choice of the first that may; 0: none
    Decision decision;
    Condition decisionAvailable;

    /**
     * {@code deadlineUs}: on {@link DecisionService#nowUs}; {@code workMs}: NaN where no estimate came;
     * {@code key}: what it concerns, or null.
     */
    public InFlightRequest(
            int cls, int tenant, long deadlineUs, double workMs, double slots, double memory, String key) {
        this(cls, tenant, deadlineUs, workMs, slots, memory, key, null);
    }

    /** {@code under}: the settings that it is taken under, whatever holds later. */
    public InFlightRequest(
            int cls,
            int tenant,
            long deadlineUs,
            double workMs,
            double slots,
            double memory,
            String key,
            PolicySettings under) {
        this.acceptedSettings = under;
        this.requestClass = cls;
        this.tenant = tenant;
        this.deadlineUs = deadlineUs;
        this.workMs = workMs;
        this.slots = slots;
        this.memory = memory;
        this.key = key;
    }

    /**
     * Before it is first asked about: it may go to these workers only, and is sent only while {@code still}
     * holds, null: always, which is asked just before each sending, by its own thread.
     */
    public void restrict(Predicate<String> workers, BooleanSupplier still) {
        eligibleWorkers = workers;
        this.sendPermitted = still;
    }

    public int requestClass() {
        return requestClass;
    }

    public int tenant() {
        return tenant;
    }

    /** NaN where no estimate came. */
    public double workMs() {
        return workMs;
    }

    public long deadlineUs() {
        return deadlineUs;
    }
}
