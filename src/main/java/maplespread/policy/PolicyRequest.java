package maplespread.policy;

import java.util.function.Predicate;

/**
 * A request that this dispatcher has accepted. An implausible value (a negative need, an absurd hint) counts as absent.
 *
 * @param id unique for the life of the policy
 * @param classIndex its class, by index in the settings
 * @param tenantIndex its tenant, by index in the settings
 * @param deadlineUs when its client stops waiting, in microseconds of the host's clock
 * @param workHintMs its expected work on a standard core, ms; NaN: the client sent no hint
 * @param slots number of slots that it takes at a worker
 * @param memoryUnits number of memory units that it takes at a worker
 * @param affinityKey the data set that it needs; null or empty: none
 * @param acceptedSettings the settings under which it was accepted, which apply to it until its end; null: the present
 *     ones
 * @param weightFactor factor of its priority weight: its tenant's quota share, 0 to 1, or up to 4 where a starved
 *     tenant's priority is boosted
 * @param eligibleWorkers the workers to which it may be sent, by id; null: all. The result may change while the request
 *     is pending
 */
public record PolicyRequest(
        long id,
        int classIndex,
        int tenantIndex,
        long deadlineUs,
        double workHintMs,
        double slots,
        double memoryUnits,
        String affinityKey,
        PolicySettings acceptedSettings,
        double weightFactor,
        Predicate<String> eligibleWorkers) {
    /** Creates a request under the present settings, with full weight, that may be sent to any worker. */
    public PolicyRequest(
            long id,
            int classIndex,
            int tenantIndex,
            long deadlineUs,
            double workHintMs,
            double slots,
            double memoryUnits,
            String affinityKey) {
        this(id, classIndex, tenantIndex, deadlineUs, workHintMs, slots, memoryUnits, affinityKey, null, 1, null);
    }

    /** Creates such a request without an affinity key. */
    public PolicyRequest(
            long id,
            int classIndex,
            int tenantIndex,
            long deadlineUs,
            double workHintMs,
            double slots,
            double memoryUnits) {
        this(id, classIndex, tenantIndex, deadlineUs, workHintMs, slots, memoryUnits, null);
    }

    /** Whether the request may be sent to the worker with this id. */
    boolean mayGoTo(String worker) {
        return eligibleWorkers == null || eligibleWorkers.test(worker);
    }
}
