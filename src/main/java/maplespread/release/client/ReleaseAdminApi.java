package maplespread.release.client;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.Semaphore;
import java.util.function.Supplier;
import maplespread.admin.AdminRoutes.AdminRequest;
import maplespread.admin.AdminRoutes.AdminResponse;
import maplespread.admin.AdminRoutes.Call;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.VersionedValue;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.errors.FleetException;
import maplespread.log.Event;
import maplespread.release.DrainPermission;
import maplespread.release.OperatorCommands;
import maplespread.release.ReleaseCommand;
import maplespread.release.ReleasePlan;
import maplespread.release.RolloutState;
import maplespread.release.RolloutState.PlannedOutage;

/**
 * The admin calls for releases and drains. Calls that wait for the fleet block a thread of the admin server; their
 * number is bounded, so that a thread always remains for other calls. docs/operators/release.md describes each call.
 */
final class ReleaseAdminApi {
    /** The maximum time for which a call waits for the fleet. */
    private static final long CALL_TIMEOUT_MS = 1_900;

    private static final int MAX_WAITING_CALLS = 4;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();

    private final String self;
    private final RolloutService.LocalInstance instance;
    private final AgreedState agreed;
    private final LocalDrain localDrain;
    private final ManualDrains manualDrains;
    private final Supplier<String> waitingFor;
    private final Semaphore callPermits = new Semaphore(MAX_WAITING_CALLS);
    /** Separate permits for halts, which must not wait behind other calls. */
    private final Semaphore haltPermits = new Semaphore(MAX_WAITING_CALLS);

    /** {@code waitingFor} supplies what the release waits for, as shown to operators. */
    ReleaseAdminApi(
            String self,
            RolloutService.LocalInstance instance,
            AgreedState agreed,
            LocalDrain localDrain,
            ManualDrains manualDrains,
            Supplier<String> waitingFor) {
        this.self = self;
        this.instance = instance;
        this.agreed = agreed;
        this.localDrain = localDrain;
        this.manualDrains = manualDrains;
        this.waitingFor = waitingFor;
    }

    /** The calls, by method and path. */
    Map<String, Call> routes() {
        return Map.of(
                "GET /admin/release", request -> new AdminResponse(OK, status()),
                "POST /admin/release", withRegister(callPermits, this::begin),
                "POST /admin/release/halt", withRegister(haltPermits, this::halt),
                "POST /admin/release/go-on", control(OperatorCommands::resume),
                "POST /admin/release/roll-back", control(OperatorCommands::rollBack),
                "POST /admin/release/abandon", control(OperatorCommands::abandon),
                "POST /admin/release/gone", withRegister(callPermits, this::removeMember),
                "POST /admin/quiesce", this::quiesce,
                "POST /admin/resume", this::resume);
    }

    // ------------------------------------------------------------ calls that need the fleet

    /** A call that reads or changes the agreed state. */
    private interface FleetCall {
        AdminResponse answer(ReplicatedRegister register, AdminRequest request) throws FleetException;
    }

    /** Creates an operator's command about the release in progress. */
    private interface ControlCommand {
        ReleaseCommand create(String by, String why, long controlVersion);
    }

    private Call withRegister(Semaphore permits, FleetCall call) {
        return request -> {
            if (!permits.tryAcquire()) {
                return response(
                        UNAVAILABLE,
                        new CallRejectedException(
                                CallRejectedException.Reason.TOO_MANY, "other calls wait for the fleet"));
            }
            try {
                ReplicatedRegister register = instance.register();
                if (register == null) {
                    throw new CallRejectedException(
                            CallRejectedException.Reason.NOT_JOINED, self + " is not in the group yet");
                }
                return call.answer(register, request);
            } catch (CallRejectedException e) {
                return response(e.status(), e);
            } catch (FleetException e) {
                return response(CONFLICT, e);
            } finally {
                permits.release();
            }
        };
    }

    /** Uses the control version that this instance knows: the operator acts on the release as seen here. */
    private Call control(ControlCommand command) {
        return withRegister(callPermits, (register, request) -> {
            String why = requiredParameter(request, "why");
            long controlVersion = agreed.newestOf(register.decidedValue()).controlVersion();
            return propose(register, command.create(by(request), why, controlVersion));
        });
    }

    private AdminResponse begin(ReplicatedRegister register, AdminRequest request) throws FleetException {
        ReleasePlan plan = ReleasePlan.read(request.body());
        return propose(register, OperatorCommands.begin(by(request), plan, instance.view()));
    }

    private AdminResponse halt(ReplicatedRegister register, AdminRequest request) throws FleetException {
        return propose(register, OperatorCommands.halt(by(request), requiredParameter(request, "why")));
    }

    private AdminResponse removeMember(ReplicatedRegister register, AdminRequest request) throws FleetException {
        return propose(register, OperatorCommands.removeMember(by(request), requiredParameter(request, "member")));
    }

    private AdminResponse propose(ReplicatedRegister register, ReleaseCommand command) {
        return response(agreed.propose(register, command, CALL_TIMEOUT_MS));
    }

    private static String requiredParameter(AdminRequest request, String key) throws CallRejectedException {
        String value = request.query(key);
        if (value.isBlank()) {
            throw new CallRejectedException(CallRejectedException.Reason.BAD_CALL, "the call lacks ?" + key + "=");
        }
        return value;
    }

    private String by(AdminRequest request) {
        String operator = request.query("by");
        return operator.isBlank() ? "operator at " + self : operator;
    }

    private AdminResponse response(ChangeResult result) {
        return switch (result.outcome()) {
            case DECIDED -> {
                RolloutState.Phase phase = agreed.newestOf(result.value()).phase();
                yield new AdminResponse(OK, phase == null ? "no release" : phase.name());
            }
            case REJECTED -> response(CONFLICT, result.error());
            case NO_MAJORITY -> response(UNAVAILABLE, result.error());
        };
    }

    private static AdminResponse response(int status, Exception error) {
        return new AdminResponse(status, error.getMessage());
    }

    // ------------------------------------------------------------ drains of this instance

    /** Drains by a planned outage, which is requested where there is none, or forcibly with a reason. */
    private AdminResponse quiesce(AdminRequest request) {
        String why = request.query("force");
        return why.isBlank() ? withRegister(callPermits, this::quiesceAsAgreed).answer(request) : forceQuiesce(why);
    }

    private AdminResponse quiesceAsAgreed(ReplicatedRegister register, AdminRequest request) throws FleetException {
        long deadlineMs = MonotonicClock.nowMs() + CALL_TIMEOUT_MS;
        ChangeResult read = agreed.read(register, CALL_TIMEOUT_MS);
        if (read.outcome() != ChangeResult.Outcome.DECIDED) {
            return response(CONFLICT, read.error()); // The agreed state is unknown.
        }
        RolloutState state = agreed.newestOf(read.value());
        if (!DrainPermission.isRequired(state)) {
            if (state.plannedOutages().containsKey(self)) {
                DrainPermission.require(state, self);
            }
            return response(localDrain.drainByOperator());
        }
        PlannedOutage outage = state.plannedOutages().get(self);
        if (outage != null && outage.incarnation() == instance.incarnation()) {
            DrainPermission.require(state, self);
            return response(localDrain.drainByOperator(outage.number()));
        }
        if (state.inProgress()) {
            DrainPermission.require(state, self);
        }
        ReleaseCommand grant = OperatorCommands.grantManualOutage(
                by(request), self, state.stabilityVersion(), instance.view(), request.query("why"));
        long remainingMs = Math.max(1, deadlineMs - MonotonicClock.nowMs());
        ChangeResult granted = agreed.propose(register, grant, remainingMs);
        if (granted.outcome() != ChangeResult.Outcome.DECIDED) {
            return response(CONFLICT, granted.error());
        }
        outage = agreed.newestOf(granted.value()).plannedOutages().get(self);
        return response(
                outage == null ? LocalDrain.DrainResult.OUTAGE_CANCELLED : localDrain.drainByOperator(outage.number()));
    }

    private static AdminResponse response(LocalDrain.DrainResult result) {
        return switch (result) {
            case DRAINING -> new AdminResponse(OK, "drains; resume ends it");
            case NOT_IN_SERVICE -> new AdminResponse(CONFLICT, "not in service");
            case OUTAGE_CANCELLED -> new AdminResponse(CONFLICT, "the leave has been given back meanwhile");
        };
    }

    /** A forced drain overrides the agreed state, even without a majority; it is always logged. */
    private AdminResponse forceQuiesce(String why) {
        Event.of("release.forced", "member", self, "word", why).warn();
        if (!localDrain.force()) {
            return new AdminResponse(CONFLICT, "not in service");
        }
        AdminRequest emptyRequest = new AdminRequest(Map.of(), "");
        AdminResponse report = withRegister(
                        callPermits,
                        (register, request) -> propose(register, OperatorCommands.forceDrain(self, self, why)))
                .answer(emptyRequest);
        String outcome = report.status() == OK ? "the fleet knows" : "the fleet could not be told: " + report.text();
        return new AdminResponse(OK, "drains without leave; " + outcome);
    }

    private AdminResponse resume(AdminRequest request) {
        boolean resumed = localDrain.resume(this::grantedOutage);
        return resumed ? new AdminResponse(OK, "at work") : new AdminResponse(CONFLICT, "not in service");
    }

    /** The known planned outage of this incarnation. */
    private OptionalLong grantedOutage() {
        PlannedOutage outage = agreed.newest().plannedOutages().get(self);
        return outage != null && outage.incarnation() == instance.incarnation()
                ? OptionalLong.of(outage.number())
                : OptionalLong.empty();
    }

    // ------------------------------------------------------------ status

    private String status() {
        ReplicatedRegister register = instance.register();
        VersionedValue value = register == null ? null : register.decidedValue();
        RolloutState state = agreed.newestOf(value);
        JsonObject status = new JsonObject();
        status.addProperty("instance", self);
        status.addProperty("joined", register != null);
        status.addProperty("majority", agreed.majorityReached());
        status.addProperty("version", value == null ? "" : value.epoch() + "." + value.version());
        status.addProperty("phase", state.phase() == null ? "" : state.phase().name());
        status.addProperty("step", state.currentStep());
        status.addProperty("waits", waitingFor.get());
        JsonArray unavailable = new JsonArray();
        state.unavailableMembers().forEach(unavailable::add);
        status.add("out", unavailable);
        JsonObject requests = new JsonObject();
        manualDrains.requests().forEach(requests::addProperty);
        status.add("wanted_by_hand", requests);
        status.add("agreed", GSON.toJsonTree(state));
        return GSON.toJson(status);
    }
}
