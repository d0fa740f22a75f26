package maplespread.release.client;

import java.io.Closeable;
import java.util.Map;
import maplespread.admin.AdminRoutes.Call;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.log.Event;
import maplespread.release.DrainPermission;
import maplespread.release.FleetView;
import maplespread.release.FleetView.Member;
import maplespread.release.Limits;
import maplespread.release.OperatorCommands;
import maplespread.release.ReleaseCommand;
import maplespread.release.RolloutAction;
import maplespread.release.RolloutController;
import maplespread.release.RolloutState;

/**
 * Runs this instance's part in releases. One daemon thread evaluates the agreed state, proposes what the {@link
 * RolloutController} decides, and carries out its actions; admin calls run on the admin server's threads.
 */
public final class RolloutService implements Closeable {
    /** The local dispatcher instance. Every method may be called by any thread. */
    public interface LocalInstance {
        /** The register of the replicated value; null: this instance is not in the group yet. */
        ReplicatedRegister register();

        /** The current fleet, as seen by this instance. */
        FleetView view();

        /** The incarnation of this process, as the group knows it. */
        long incarnation();

        /** Drains this instance of clients; returns false where it is not in service. */
        boolean quiesce();

        /** Accepts clients again; returns false where it is not in service. */
        boolean resume();
    }

    private static final long THREAD_STACK_BYTES = 144 * 1024;
    /** Shorter than the gap that the controller treats as a process pause. */
    private static final long PROPOSE_TIMEOUT_MS = 500;

    private static final long MAX_CHECK_INTERVAL_MS = 250;
    private static final long MIN_CHECK_INTERVAL_MS = 10;

    private final String self;
    private final LocalInstance instance;
    private final WorkerDrainer workers;
    private final AgreedState agreed = new AgreedState();
    private final CancelledOutages cancelledOutages = new CancelledOutages();
    private final ManualDrains manualDrains = new ManualDrains();
    private final LocalDrain localDrain;
    private final ReleaseAdminApi adminApi;
    private final Thread thread;
    /** The command that proposes the limits of the operators' file; null after it was decided. */
    private volatile ReleaseCommand pendingLimits;

    private volatile String waitingFor = "";

    /**
     * Creates the service; {@link #start} starts its thread.
     *
     * @param self this dispatcher's member name
     * @param workers drains the workers; closed with this service
     * @param limits the limits of the operators' file
     */
    public RolloutService(String self, LocalInstance instance, WorkerDrainer workers, Limits limits) {
        this.self = self;
        this.instance = instance;
        this.workers = workers;
        pendingLimits = limitsAtStart(limits);
        localDrain = new LocalDrain(self, instance, cancelledOutages);
        adminApi = new ReleaseAdminApi(self, instance, agreed, localDrain, manualDrains, () -> waitingFor);
        thread = new Thread(null, this::run, "release", THREAD_STACK_BYTES);
        thread.setDaemon(true);
    }

    /** Limits that are agreed on already take precedence over those of the file at the start of this instance. */
    private ReleaseCommand limitsAtStart(Limits limits) {
        return state -> {
            if (state.limits() == null) {
                return OperatorCommands.setLimits(self, limits).apply(state);
            }
            if (!state.limits().equals(limits)) {
                Event.of("release.limits_differ", "file", limits, "agreed", state.limits())
                        .warn();
            }
            return state;
        };
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Proposes changed limits of the operators' file as the limits of the fleet. */
    public void updateLimits(Limits limits) {
        pendingLimits = OperatorCommands.setLimits(self, limits);
    }

    /** The admin calls, by method and path. */
    public Map<String, Call> adminRoutes() {
        return adminApi.routes();
    }

    /** Stops the thread; the agreed state is unaffected. */
    @Override
    public void close() {
        thread.interrupt();
        workers.close();
    }

    // ------------------------------------------------------------ the thread

    private void run() {
        RolloutController controller =
                new RolloutController(RolloutController.Settings.DEFAULT, self, MonotonicClock.nowMs());
        while (!Thread.currentThread().isInterrupted()) {
            long nextCheckMs = MonotonicClock.nowMs() + MAX_CHECK_INTERVAL_MS;
            try {
                ReplicatedRegister register = instance.register();
                if (register != null) {
                    nextCheckMs = Math.min(nextCheckMs, evaluate(controller, register));
                }
            } catch (RuntimeException | Error e) { // An error must not end the evaluation loop.
                Event.of("release.fault", "why", e).error();
            }
            try {
                Thread.sleep(Math.max(MIN_CHECK_INTERVAL_MS, nextCheckMs - MonotonicClock.nowMs()));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns the time of the next evaluation, by {@link MonotonicClock}. */
    private long evaluate(RolloutController controller, ReplicatedRegister register) {
        readIfOutdated(register);
        proposeLimits(register);
        RolloutState state = agreed.newestOf(register.decidedValue());
        cancelledOutages.drainTo(controller::drainCancelled);
        RolloutController.Decision decision =
                controller.evaluate(MonotonicClock.nowMs(), state, instance.view(), agreed.majorityReached());
        waitingFor = decision.waitingFor();
        for (ReleaseCommand proposal : decision.proposals()) {
            ChangeResult result = agreed.propose(register, proposal, PROPOSE_TIMEOUT_MS);
            if (result.outcome() == ChangeResult.Outcome.NO_MAJORITY) {
                break;
            }
        }
        manualDrains.beginRound();
        for (RolloutAction action : decision.actions()) {
            carryOut(register, action);
        }
        return decision.nextCheckAtMs();
    }

    /**
     * Reads the state from a majority where the last attempt has failed, or where a release or an outage is active and
     * the last contact with a majority is too old.
     */
    private void readIfOutdated(ReplicatedRegister register) {
        RolloutState state = agreed.newestOf(register.decidedValue());
        boolean isActive = state.inProgress() || !state.plannedOutages().isEmpty();
        if (!agreed.majorityReached() || isActive && !agreed.isContactValid()) {
            agreed.read(register, PROPOSE_TIMEOUT_MS);
        }
    }

    private void proposeLimits(ReplicatedRegister register) {
        ReleaseCommand proposed = pendingLimits;
        if (proposed == null || !agreed.majorityReached()) {
            return;
        }
        ChangeResult result = agreed.propose(register, proposed, PROPOSE_TIMEOUT_MS);
        if (result.outcome() == ChangeResult.Outcome.DECIDED && pendingLimits == proposed) {
            pendingLimits = null;
        }
    }

    // ------------------------------------------------------------ actions

    private void carryOut(ReplicatedRegister register, RolloutAction action) {
        if (action instanceof RolloutAction.CancelDrain) {
            manualDrains.recordCancelled(action.outageNumber());
        }
        if (action.member().equals(self)) {
            carryOutLocally(register, action);
        } else if (workers.usesRegistry()) {
            carryOutAtRegistry(register, action);
        } else {
            requestManually(action);
        }
    }

    /** Drains this instance, or cancels its drain. */
    void carryOutLocally(ReplicatedRegister register, RolloutAction action) {
        if (action.incarnation() != instance.incarnation()) {
            return;
        }
        if (action instanceof RolloutAction.CancelDrain) {
            localDrain.cancel(action.outageNumber());
        } else if (isStillPermitted(register, action)) {
            localDrain.drain(action.outageNumber());
        }
    }

    private void carryOutAtRegistry(ReplicatedRegister register, RolloutAction action) {
        if (action instanceof RolloutAction.CancelDrain) {
            workers.cancelDrain(action, () -> cancelledOutages.add(action.outageNumber()));
        } else {
            workers.drain(action, () -> isStillPermitted(register, action));
        }
    }

    /**
     * Whether a majority still permits a drain to begin. An answer that took longer than the timeout is ignored: a
     * process that was paused after the answer might otherwise drain long after a halt.
     */
    private boolean isStillPermitted(ReplicatedRegister register, RolloutAction action) {
        long askedAtMs = MonotonicClock.nowMs();
        return agreed.readNewest(register, PROPOSE_TIMEOUT_MS)
                .filter(state -> DrainPermission.isPermitted(
                        state, action.member(), action.incarnation(), action.outageNumber()))
                .filter(state -> MonotonicClock.nowMs() - askedAtMs <= PROPOSE_TIMEOUT_MS)
                .isPresent();
    }

    private void requestManually(RolloutAction action) {
        if (action instanceof RolloutAction.CancelDrain) {
            manualDrains.requestService(action.member());
            boolean isServing = instance.view()
                    .member(action.member())
                    .filter(Member::serving)
                    .isPresent();
            if (isServing && manualDrains.isDrainRequestExpired(action.outageNumber())) {
                cancelledOutages.add(action.outageNumber());
            }
        } else if (agreed.majorityReached() && agreed.isContactValid()) {
            // Without a valid contact the drain may have been cancelled.
            manualDrains.requestDrain(action.member());
        }
    }
}
