package maplespread.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The workers by id and by kind, and which of them are on the endpoint list. Workers that have left the list are kept
 * with their estimates, as they may come back, until they outnumber the listed ones.
 */
final class WorkerDirectory {
    private static final int MAX_UNLISTED = 100;
    private final WorkerTable listed;
    private final PolicyContext context;
    private final ArrivalStatistics arrivals;
    private final HintCalibration hints;
    private final FailureStatistics failures;
    private final Map<String, Worker> byId = new HashMap<>();
    private final Map<Integer, WorkerKind> kinds = new HashMap<>();
    private final List<Worker> busy = new ArrayList<>();

    WorkerDirectory(
            WorkerTable listed,
            PolicyContext context,
            ArrivalStatistics arrivals,
            HintCalibration hints,
            FailureStatistics failures) {
        this.listed = listed;
        this.context = context;
        this.arrivals = arrivals;
        this.hints = hints;
        this.failures = failures;
    }

    /** The worker with this id, listed or not; null: it is unknown. */
    Worker find(String id) {
        return byId.get(id);
    }

    /** Removes the workers that are absent from a full snapshot. */
    void removeAbsent(List<EndpointEntry> snapshot) {
        Set<String> present = new HashSet<>();
        for (EndpointEntry entry : snapshot) {
            present.add(entry.worker());
        }
        for (Worker worker : List.copyOf(listed.all())) {
            if (!present.contains(worker.id)) {
                setLifecycle(worker, EndpointLifecycle.REMOVED);
            }
        }
    }

    /** Applies an entry of the endpoint list. A change takes work for that worker and no other. */
    void update(EndpointEntry entry) {
        Worker worker = byId.get(entry.worker());
        if (worker == null) {
            worker = new Worker(entry.worker(), context, arrivals, hints, failures);
            byId.put(worker.id, worker);
        }
        worker.applyEntry(entry, kinds.computeIfAbsent(entry.workerKind(), number -> new WorkerKind()));
        setLifecycle(worker, entry.lifecycle());
    }

    /** Forgets workers that have left the list, once they are many. */
    void forgetUnlisted() {
        if (byId.size() > 2 * listed.size() + MAX_UNLISTED) {
            byId.values()
                    .removeIf(worker ->
                            !worker.isListed() && worker.backlog.inFlight().isEmpty());
        }
    }

    /** The workers with attempts of this dispatcher in flight, in the order of their first such attempt. */
    List<Worker> busy() {
        return busy;
    }

    /** An attempt is about to be sent to the worker. */
    void attemptStarting(Worker worker) {
        if (worker.backlog.inFlight().isEmpty()) {
            busy.add(worker);
        }
    }

    /** An attempt at the worker has ended. */
    void attemptEnded(Worker worker) {
        if (worker.backlog.inFlight().isEmpty()) {
            busy.remove(worker);
        }
    }

    private void setLifecycle(Worker worker, EndpointLifecycle lifecycle) {
        worker.lifecycle = lifecycle;
        if (lifecycle == EndpointLifecycle.REMOVED) {
            listed.remove(worker);
        } else {
            listed.add(worker);
        }
        listed.setCapacity(worker, worker.usableCapacity());
    }
}
