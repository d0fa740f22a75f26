package maplespread.facade;

import java.util.ArrayList;
import java.util.List;
import maplespread.policy.AttemptOutcome;
import maplespread.policy.EndpointEntry;
import maplespread.policy.EndpointLifecycle;
import maplespread.policy.EndpointListKind;
import maplespread.policy.LoadReport;

/** Maps the network code's types to those of the policy, field by field. Stateless. */
final class PolicyMapping {
    private PolicyMapping() {}

    static AttemptOutcome outcome(Outcome outcome) {
        return switch (outcome) {
            case SERVED -> AttemptOutcome.SERVED;
            case ERROR -> AttemptOutcome.ERROR;
            case REJECTED -> AttemptOutcome.REJECTED;
            case TIMED_OUT -> AttemptOutcome.TIMED_OUT;
            case CONNECT_FAILED -> AttemptOutcome.CONNECT_FAILED;
            case RESET -> AttemptOutcome.RESET;
            case CANCELLED -> AttemptOutcome.CANCELLED;
            case NEVER_SENT -> AttemptOutcome.NEVER_SENT;
            case STALE_CONNECTION_RESET -> AttemptOutcome.STALE_CONNECTION_RESET;
        };
    }

    static EndpointListKind listKind(EndpointUpdate.Kind kind) {
        return switch (kind) {
            case DELTA -> EndpointListKind.DELTA;
            case FULL_SNAPSHOT -> EndpointListKind.FULL_SNAPSHOT;
            case CACHED_SNAPSHOT -> EndpointListKind.CACHED_SNAPSHOT;
        };
    }

    static List<EndpointEntry> entries(List<Endpoint> endpoints) {
        List<EndpointEntry> entries = new ArrayList<>(endpoints.size());
        for (Endpoint endpoint : endpoints) {
            entries.add(new EndpointEntry(
                    endpoint.worker(),
                    lifecycle(endpoint.state()),
                    endpoint.weight(),
                    endpoint.kind(),
                    endpoint.cell(),
                    endpoint.zone(),
                    endpoint.startedAtMs()));
        }
        return entries;
    }

    private static EndpointLifecycle lifecycle(Endpoint.State state) {
        return switch (state) {
            case SERVING -> EndpointLifecycle.ACTIVE;
            case DRAINING -> EndpointLifecycle.DRAINING;
            case DELETED -> EndpointLifecycle.REMOVED;
        };
    }

    /** Returns null if {@code load} is null: the worker has sent no report. */
    static LoadReport load(WorkerLoad load) {
        if (load == null) {
            return null;
        }
        return new LoadReport(
                load.figure("active"),
                load.figure("waiting"),
                load.figure("cpu"),
                load.figure("avg_ms"),
                load.figure("x0"),
                load.figure("x1"));
    }
}
