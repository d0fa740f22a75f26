package maplespread.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * A request from its acceptance until it and all its attempts have ended. Its class and its maximum number of attempts
 * are those of the settings under which it was accepted, even if the settings change later. Times are ms on the host's
 * clock.
 */
final class PendingRequest {
    /** Hints below this share of the shortest objective are ignored. */
    private static final double MIN_HINT_SHARE = 1e-4;

    /** Hints above this many deadlines are ignored. */
    private static final double MAX_HINT_DEADLINES = 1e3;

    /** Memory units or slots from this number on are errors and count as absent. */
    private static final double MAX_UNITS = 1000;

    /** Maximum number of workers that are probed for a request in one round. */
    private static final int MAX_PROBES_PER_ROUND = 3;

    final PolicyRequest accepted;
    final RequestClass requestClass;
    final int classIndex;
    final int maxAttempts;
    final double acceptedAtMs;
    final double deadlineMs;
    final double slots;
    final double memoryUnits;

    /** Hash of the affinity key; 0: the request has none. */
    final long keyHash;

    final List<InFlightAttempt> attempts = new ArrayList<>(2);

    /** Workers probed for the request since it was last placed. */
    final List<Worker> probed = new ArrayList<>(MAX_PROBES_PER_ROUND);

    /** Probed workers that have not answered. */
    final List<Worker> awaitingReply = new ArrayList<>(MAX_PROBES_PER_ROUND);

    /** Number of probe rounds started for the request. */
    int probeRounds;

    /** Expected work, ms on a standard core; without a hint NaN until {@link ArrivalStatistics} sets it. */
    double workMs;

    /** Logarithm of the work hint; NaN: the request has none. */
    double logHint = Double.NaN;

    /** Priority weight relative to the mean one. */
    double weight;

    /** First worker of the key by rendezvous hashing; null: no key, or no such worker. */
    Worker primary;

    /** Second worker of the key by rendezvous hashing; null: no key, or no such worker. */
    Worker secondary;

    int attemptsInFlight;
    boolean ended;

    /** Whether the response has started, which rules out further attempts. */
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
        boolean hasHint = hintMs > MIN_HINT_SHARE * context.objectiveMs
                && hintMs < MAX_HINT_DEADLINES * requestClass.deadlineMs();
        workMs = hasHint ? hintMs : Double.NaN;
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
