package maplespread.policy;

/**
 * A worker as the endpoint list shows it.
 *
 * @param worker its id
 * @param lifecycle whether it takes requests
 * @param weight as the list rates it; the policy learns speeds instead
 * @param workerKind the kind of worker, a small number
 * @param cell its deduplication cell
 * @param zone its zone
 * @param startedAtMs when it last started, on the host's clock; 0: long ago
 */
public record EndpointEntry(
        String worker,
        EndpointLifecycle lifecycle,
        double weight,
        int workerKind,
        int cell,
        int zone,
        double startedAtMs) {}
