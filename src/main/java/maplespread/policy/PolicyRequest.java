package maplespread.policy;

import java.util.function.Predicate;

/**
 * A request taken by this node. {@code deadlineUs}: when its client stops waiting; {@code key}: what it
 * concerns, or null; {@code under}: the settings it was taken under, whose rules hold for it to its end;
 * null: the present ones; {@code counts}: what of its worth it counts for: under its tenant's share,
 * 0..1; where a starved tenant is relieved, up to 4; {@code among}: the workers that it may
 * go to, by id, null: any; its answer may change while it is open.
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
    /** To any worker. */
    public PolicyRequest(
            long id,
            int cls,
            int tenant,
            long deadlineUs,
            double workMs,
            double slots,
            double memory,
            String key,
            PolicySettings under,
            double counts) {
        this(id, cls, tenant, deadlineUs, workMs, slots, memory, key, under, counts, null);
    }

    boolean mayGoTo(String worker) {
        return eligibleWorkers == null || eligibleWorkers.test(worker);
    }

    /** Under the present settings. */
    public PolicyRequest(
            long id, int cls, int tenant, long deadlineUs, double workMs, double slots, double memory, String key) {
        this(id, cls, tenant, deadlineUs, workMs, slots, memory, key, null, 1);
    }

    /** A request without a key. */
    public PolicyRequest(long id, int cls, int tenant, long deadlineUs, double workMs, double slots, double memory) {
        this(id, cls, tenant, deadlineUs, workMs, slots, memory, null, null, 1);
    }
}
