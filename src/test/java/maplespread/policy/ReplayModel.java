package maplespread.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The simulated workers, requests and attempts of {@link ReplayFleet}. */
final class ReplayModel {
    private ReplayModel() {}

    static final class ModelWorker {
        final String id;
        final int zone;
        final int cell;
        final int kind;
        final int slots;
        final double speed;
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        final List<Job> running = new ArrayList<>();
        EndpointLifecycle lifecycle = EndpointLifecycle.ACTIVE;
        boolean listed = true;
        boolean up = true;
        boolean unreachable;
        boolean hanging;

        /** Factor by which attempts take longer. */
        double slowness = 1;

        /** Index of the request class that fails at this worker; -1: none. */
        int failingClass = -1;

        double startedAtMs;

        /** Duration of the last completed attempt in milliseconds; NaN: none. */
        double lastServiceMs = Double.NaN;

        ModelWorker(String id, int zone, int cell, int kind, int slots, double speed) {
            this.id = id;
            this.zone = zone;
            this.cell = cell;
            this.kind = kind;
            this.slots = slots;
            this.speed = speed;
        }

        double usedSlots() {
            double used = 0;
            for (Job attempt : running) {
                used += attempt.request.slots;
            }
            return used;
        }
    }

    /** A client's request. */
    static final class Call {
        final long id;
        final int requestClass;
        final double deadlineMs;
        final double slots;
        final double workMs;
        final RequestClass classSettings;
        final List<Job> attempts = new ArrayList<>(2);
        boolean ended;

        Call(long id, int requestClass, double deadlineMs, double slots, double workMs, RequestClass classSettings) {
            this.id = id;
            this.requestClass = requestClass;
            this.deadlineMs = deadlineMs;
            this.slots = slots;
            this.workMs = workMs;
            this.classSettings = classSettings;
        }
    }

    /** One attempt of a request, sent to a worker. */
    static final class Job {
        final Call request;
        final int number;
        final ModelWorker worker;
        final double sentAtMs;
        double startedAtMs;
        double durationMs;
        boolean ended;

        Job(Call request, int number, ModelWorker worker, double sentAtMs) {
            this.request = request;
            this.number = number;
            this.worker = worker;
            this.sentAtMs = sentAtMs;
        }
    }
}
