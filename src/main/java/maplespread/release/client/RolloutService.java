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
 * This instance's part in releases. One daemon thread evaluates the agreed state, proposes what the {@link
 * RolloutController} decides, and carries its actions out; admin calls run on the admin server's threads.
 */
public final class RolloutService implements Closeable {
    /** The instance that takes part. Every method may be called by any thread. */
    public interface LocalInstance {
        /** The register of the agreed value; null: this instance is not in the group yet. */
        ReplicatedRegister register();

        /** The fleet as this instance sees it now. */
        FleetView view();

        /** The incarnation of this process, as the group knows it. */
        long incarnation();

        /** Sends clients away; false outside of service. */
        boolean quiesce();

        /** Has clients come again; false outside of service. */
        boolean resume();
    }

    private static final long THREAD_STACK_BYTES = 144 * 1024;
    /** The longest that a proposal waits; less than what the controller takes for a pause of the process. */
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
    /** Has the operators' file's limits agreed on; null: that is done. */
    private volatile ReleaseCommand pendingLimits;

    private volatile String waitingFor = "";

    /**
     * Starts nothing yet.
     *
     * @param self this dispatcher's member name
     * @param workers closed with this
     * @param limits those of the operators' file
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

    /** Limits that are agreed on already go before those of the file that this instance was started with. */
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

    /** The limits of the operators' file have changed: these are to be the fleet's. */
    public void updateLimits(Limits limits) {
        pendingLimits = OperatorCommands.setLimits(self, limits);
    }

    /** The admin calls, by method and path. */
    public Map<String, Call> adminRoutes() {
        return adminApi.routes();
    }

    /** Ends the thread; what is agreed stays. */
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
            } catch (RuntimeException | Error e) { // the next evaluation must still come
                Event.of("release.fault", "why", e).error();
            }
            try {
                Thread.sleep(Math.max(MIN_CHECK_INTERVAL_MS, nextCheckMs - MonotonicClock.nowMs()));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns when to evaluate again, by {@link MonotonicClock}. */
    private long evaluate(RolloutController controller, ReplicatedRegister register) {
        refresh(register);
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

    /** Asks a majority where this instance may be cut off; while nobody is to be drained, only if it was. */
    private void refresh(ReplicatedRegister register) {
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
            manualDrains.noteCancelled(action.outageNumber());
        }
        if (action.member().equals(self)) {
            carryOutHere(register, action);
        } else if (workers.usesRegistry()) {
            carryOutAtRegistry(register, action);
        } else {
            requestByHand(action);
        }
    }

    /** A drain of this very instance, or what cancels one. */
    void carryOutHere(ReplicatedRegister register, RolloutAction action) {
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
     * Whether a drain may begin, as a majority knows it at this moment. An answer that took longer than it may counts
     * for nothing: a process that was paused after it might drain long after a halt.
     */
    private boolean isStillPermitted(ReplicatedRegister register, RolloutAction action) {
        long askedAtMs = MonotonicClock.nowMs();
        return agreed.readNewest(register, PROPOSE_TIMEOUT_MS)
                .filter(state -> DrainPermission.isPermitted(
                        state, action.member(), action.incarnation(), action.outageNumber()))
                .filter(state -> MonotonicClock.nowMs() - askedAtMs <= PROPOSE_TIMEOUT_MS)
                .isPresent();
    }

    private void requestByHand(RolloutAction action) {
        if (action instanceof RolloutAction.CancelDrain) {
            manualDrains.requestService(action.member());
            boolean serves = instance.view()
                    .member(action.member())
                    .filter(Member::serving)
                    .isPresent();
            if (serves && manualDrains.isRequestedNowhere(action.outageNumber())) {
                cancelledOutages.add(action.outageNumber());
            }
        } else if (agreed.majorityReached() && agreed.isContactValid()) { // else it may have been cancelled
            manualDrains.requestDrain(action.member());
        }
    }
}
