package maplespread.policy;

import java.util.function.Predicate;

/**
 * A request that this dispatcher has accepted. What cannot be right (a negative need, an absurd hint) counts as absent.
 *
 * @param id unique for the life of the policy
 * @param classIndex its class, by index in the settings
 * @param tenantIndex its tenant, by index in the settings
 * @param deadlineUs when its client stops waiting, in microseconds of the host's clock
 * @param workHintMs its expected work on a standard core, ms; NaN: no hint came
 * @param slots slots that it takes at a worker
 * @param memoryUnits memory units that it takes there
 * @param affinityKey the data set that it needs; null or empty: none
 * @param acceptedSettings the settings under which it was accepted, whose rules hold for it to its end; null: the
 *     present ones
 * @param weightFactor what of its weight counts: its tenant's quota share, 0 to 1; where a starved tenant's priority
 *     is boosted, up to 4
 * @param eligibleWorkers the workers that it may go to, by id; null: all. The answer may change while it is open
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
    /** Under the present settings, in full weight, to any worker. */
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

    /** The same without an affinity key. */
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

    /** Whether it may go to the worker with this id. */
    boolean mayGoTo(String worker) {
        return eligibleWorkers == null || eligibleWorkers.test(worker);
    }
}
