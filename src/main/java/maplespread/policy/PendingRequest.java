package maplespread.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * A request from its acceptance until it has ended and all its attempts are over. Its class and its limit of attempts
 * are those of the settings under which it was accepted, whatever holds later. Times are ms on the host's clock.
 */
final class PendingRequest {
    /** Hints below this share of the shortest objective are ignored. */
    private static final double MIN_HINT_SHARE = 1e-4;

    /** Hints above this many deadlines are ignored. */
    private static final double MAX_HINT_DEADLINES = 1e3;

    /** Memory units and slots from here on are taken for errors. */
    private static final double MAX_UNITS = 1000;

    /** Most workers that are probed for it in one round. */
    private static final int EXPECTED_PROBES = 3;

    final PolicyRequest accepted;
    final RequestClass requestClass;
    final int classIndex;
    final int maxAttempts;
    final double acceptedAtMs;
    final double deadlineMs;
    final double slots;
    final double memoryUnits;

    /** Hash of its affinity key; 0: it has none. */
    final long keyHash;

    final List<InFlightAttempt> attempts = new ArrayList<>(2);

    /** Workers probed for it since it was last placed. */
    final List<Worker> probed = new ArrayList<>(EXPECTED_PROBES);

    /** Those of them that have not answered. */
    final List<Worker> awaitingReply = new ArrayList<>(EXPECTED_PROBES);

    /** Probe rounds taken for it. */
    int probeRounds;

    /** Expected work, ms on a standard core; NaN until it is counted, where it has no hint. */
    double workMs;

    /** Logarithm of its hint; NaN: it has none. */
    double logHint = Double.NaN;

    /** Its priority weight over the mean one. */
    double weight;

    /** First and second worker of its key by rendezvous hashing; null: no key, or no such worker. */
    Worker primary;

    Worker secondary;

    int attemptsInFlight;
    boolean ended;

    /** Its response has started: no further attempt. */
    boolean responseStarted;

    PendingRequest(PolicyRequest request, PolicyContext context) {
        accepted = request;
        classIndex = request.classIndex();
        PolicySettings settings = request.acceptedSettings() == null ? context.settings : request.acceptedSettings();
        requestClass = settings.classes().get(classIndex);
        maxAttempts = settings.permissions().maxAttempts();
        acceptedAtMs = context.nowMs;
        deadlineMs = request.deadlineUs() / 1000.0;
        double hintMs = request.workHintMs();
        boolean hinted = hintMs > MIN_HINT_SHARE * context.objectiveMs
                && hintMs < MAX_HINT_DEADLINES * requestClass.deadlineMs();
        workMs = hinted ? hintMs : Double.NaN;
        memoryUnits = request.memoryUnits() > 0 && request.memoryUnits() < MAX_UNITS ? request.memoryUnits() : 0;
        slots = request.slots() > 0 && request.slots() < MAX_UNITS ? request.slots() : 1;
        String key = request.affinityKey();
        keyHash = key == null || key.isEmpty() ? 0 : StableHash.hash(key) | 1;
    }

    long id() {
        return accepted.id();
    }

    /** The attempt with this number if it is in flight, else null. */
    InFlightAttempt inFlight(int number) {
        if (number < 0 || number >= attempts.size()) {
            return null;
        }
        InFlightAttempt attempt = attempts.get(number);
        return attempt.ended ? null : attempt;
    }
}
