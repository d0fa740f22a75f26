package maplespread.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** What {@link ReplayFleet} keeps of its virtual workers, calls and attempts. */
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
        EndpointLifecycle health = EndpointLifecycle.ACTIVE;
        boolean listed = true;
        boolean up = true;
        boolean unreachable;
        boolean hanging;
        double slowness = 1;
        int failingClass = -1;
        double startedAtMs;
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
            for (Job job : running) {
                used += job.call.slots;
            }
            return used;
        }
    }

    static final class Call {
        final long id;
        final int cls;
        final double deadlineMs;
        final double slots;
        final double workMs;
        final RequestClass spec;
        final List<Job> jobs = new ArrayList<>(2);
        boolean ended;

        Call(long id, int cls, double deadlineMs, double slots, double workMs, RequestClass spec) {
            this.id = id;
            this.cls = cls;
            this.deadlineMs = deadlineMs;
            this.slots = slots;
            this.workMs = workMs;
            this.spec = spec;
        }
    }

    static final class Job {
        final Call call;
        final int attempt;
        final ModelWorker worker;
        final double sentAtMs;
        double startedAtMs;
        double takesMs;
        boolean over;

        Job(Call call, int attempt, ModelWorker worker, double sentAtMs) {
            this.call = call;
            this.attempt = attempt;
            this.worker = worker;
            this.sentAtMs = sentAtMs;
        }
    }
}
