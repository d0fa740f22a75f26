package maplespread.policy;

/**
 * A worker as the endpoint list shows it.
 *
 * @param worker the worker's id
 * @param lifecycle whether it takes requests
 * @param weight the weight given by the list; the policy learns speeds instead
 * @param workerKind the kind of the worker, a small number
 * @param cell its deduplication cell
 * @param zone its zone
 * @param startedAtMs time of its last start on the host's clock; 0: long ago
 */
public record EndpointEntry(
        String worker,
        EndpointLifecycle lifecycle,
        double weight,
        int workerKind,
        int cell,
        int zone,
        double startedAtMs) {}
