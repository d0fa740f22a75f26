package maplespread.policy;

/**
 * A worker as the list shows it. {@code upSinceMs}: when it last started, on the host's clock; 0: long
 * ago.
 */
public record EndpointEntry(
        String worker,
        EndpointLifecycle lifecycle,
        double weight,
        int workerKind,
        int cell,
        int zone,
        double startedAtMs) {}
