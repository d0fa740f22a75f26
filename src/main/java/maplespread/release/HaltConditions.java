package maplespread.release;

import java.util.Map;
import maplespread.release.FleetView.ServiceLevel;
import maplespread.release.RolloutState.Phase;
import maplespread.release.RolloutState.PlannedOutage;

/** The conditions that halt a release automatically. */
final class HaltConditions {
    /** Shares and waits are evaluated only from this many answers on. */
    private static final long MIN_SAMPLES = 100;

    private final RolloutController.Settings settings;
    private final ConditionTimers timers;

    HaltConditions(RolloutController.Settings settings, ConditionTimers timers) {
        this.settings = settings;
        this.timers = timers;
    }

    /**
     * The reason to halt the release in progress, as shown to operators; empty: none.
     *
     * @param baseline the service level that the current one is compared with
     * @param quorumLossMs the duration of a quorum loss that has just ended; 0: none
     */
    String reason(RolloutState state, ServiceLevel current, ServiceLevel baseline, long quorumLossMs) {
        if (quorumLossMs >= settings.quorumLossMs()) {
            return "no majority for " + quorumLossMs + " ms";
        }
        for (Limits limits : state.limitsInForce()) {
            String exceeded = limits.firstExceeded(state.members(), state.unavailableMembers());
            // One timer for all limits and counts: another outage must not restart the wait.
            if (!exceeded.isEmpty() && timers.heldFor("limit exceeded", settings.detectionMs())) {
                return "limit exceeded: " + exceeded;
            }
        }
        for (Map.Entry<String, PlannedOutage> entry : state.plannedOutages().entrySet()) {
            PlannedOutage outage = entry.getValue();
            String condition = "outage " + outage.number() + " since act " + state.controlVersion();
            if (!outage.release().isEmpty() && timers.heldFor(condition, state.backMs())) {
                return entry.getKey() + " is not back after " + state.backMs() + " ms";
            }
        }
        // A service level that the release has degraded must not halt its rollback.
        return state.release().activePhase() == Phase.RUNNING ? degradation(state, current, baseline) : "";
    }

    private static String degradation(RolloutState state, ServiceLevel current, ServiceLevel baseline) {
        if (current.samples() < MIN_SAMPLES || baseline.samples() < MIN_SAMPLES) {
            return "";
        }
        for (Limits limits : state.limitsInForce()) {
            if (current.refusedShare() > baseline.refusedShare() + limits.worseRefused()) {
                return "refusals " + current.refusedShare() + ", before the release " + baseline.refusedShare();
            }
            if (current.errorShare() > baseline.errorShare() + limits.worseErrors()) {
                return "errors " + current.errorShare() + ", before the release " + baseline.errorShare();
            }
            if (current.waitMs() > baseline.waitMs() * (1 + limits.worseWait())) {
                return "waits " + current.waitMs() + " ms, before the release " + baseline.waitMs() + " ms";
            }
        }
        return "";
    }
}
