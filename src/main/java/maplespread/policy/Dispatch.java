package maplespread.policy;

import java.util.List;
import java.util.function.Predicate;

/**
 * The whole interface between a host (a dispatcher node) and the decision module {@link DispatchPolicy}.
 *
 * <p>A host makes one {@code Logic} per node, calls its {@link PolicyEvents} from one thread, in order, and
 * carries out the {@link PolicyActions} the module calls while it handles an event. Times are microseconds of
 * the host's own clock, which must never run backwards; spans of work and of time in the records are
 * milliseconds. Any number that a host does not know is given as {@code NaN} (or as the neutral value
 * stated).
 */
public final class Dispatch {
    private Dispatch() {}

    /** May a request of the class be repeated once an attempt may have run? */
    public enum Idempotency {
        READ_LIKE,
        IDEMPOTENCY_KEY,
        NON_IDEMPOTENT
    }

    /** Which workers drop a repeat of a keyed request. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** How a worker appears on the list. */
    public enum EndpointLifecycle {
        ACTIVE,
        DRAINING,
        REMOVED
    }

    /**
     * CHANGES: only entries that changed. FULL: all entries. HELD: all, as last held, possibly out of
     * date.
     */
    public enum EndpointListKind {
        DELTA,
        FULL_SNAPSHOT,
        CACHED_SNAPSHOT
    }

    /**
     * How far the list can be relied on. UNCONFIRMED: discovery has said nothing since this process started; CONFIRMED:
     * a watch tells all changes; RENEWING: it does not, for a short while; UNREACHABLE: it does not, and there is
     * nobody who could know of one; STALE: changes may have been missed that this node is held to.
     */
    public enum EndpointListState {
        UNCONFIRMED,
        CONFIRMED,
        RENEWING,
        UNREACHABLE,
        STALE
    }

    /**
     * How a watch or a call for one ended. ENDED: by discovery, after it had spoken; REFUSED: nobody listened;
     * NO_ANSWER: no first word came; NOT_ASKED: the call never left this machine.
     */
    public enum EndpointWatchFailure {
        ENDED,
        REFUSED,
        NO_ANSWER,
        NOT_ASKED
    }

    /**
     * Why a list that was confirmed is in doubt while no call has failed. SILENT: its watch says nothing any more;
     * MOVED: another address of discovery counts from now on, which has said nothing yet.
     */
    public enum EndpointListDoubt {
        SILENT,
        MOVED
    }

    /**
     * Why a request is ended unserved. OVERLOADED: any attempt would cost more than the refusal; NO_SERVER: none may be
     * used; LIST_NOT_CONFIRMED: none may be used by a list that may be out of date; FAULT: the module failed.
     */
    public enum RejectionReason {
        OVERLOADED,
        NO_SERVER,
        LIST_NOT_CONFIRMED,
        ATTEMPTS_USED,
        OUT_OF_TIME,
        MAY_HAVE_RUN,
        FAULT
    }

    /**
     * How an attempt or probe ended. FULL, NO_CONNECTION and MOOT prove that it never ran. CUT is a RESET of
     * a connection kept from before, on which the worker had not said anything: it tells nothing of the
     * worker.
     */
    public enum AttemptOutcome {
        SERVED,
        ERROR,
        REJECTED,
        TIMED_OUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        NEVER_SENT,
        STALE_CONNECTION_RESET;

        /** Whether this outcome proves that the attempt never ran. */
        public boolean provesNeverRan() {
            return this == REJECTED || this == CONNECT_FAILED || this == NEVER_SENT;
        }
    }

    /**
     * A class of requests. {@code stretch}: the aim grows by this multiple of the request's own work (0:
     * it does not); {@code kind}: the worker kind it must run on, or -1; {@code lateShare}: share of the
     * worth paid for an answer after the aim and before the deadline.
     */
    public record RequestClass(
            double latencyObjectiveMs,
            double stretchFactor,
            double deadlineMs,
            double priorityWeight,
            double lateWeightShare,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            double deduplicationWindowMs,
            boolean streaming,
            int requiredWorkerKind) {
        public RequestClass {
            need(latencyObjectiveMs > 0 && deadlineMs > 0, "a class needs an aim and a deadline above zero");
            need(
                    stretchFactor >= 0 && priorityWeight >= 0 && deduplicationWindowMs >= 0,
                    "stretch, worth and window must not be negative");
            need(lateWeightShare >= 0 && lateWeightShare <= 1, "lateShare must lie in 0..1");
            need(idempotency != null && deduplicationScope != null, "a class needs an effect and a group");
        }

        /** Whether a job may be sent again so long after its first attempt that may have run. */
        public boolean mayRepeatAfter(double sinceMs) {
            return idempotency == Idempotency.READ_LIKE
                    || idempotency == Idempotency.IDEMPOTENCY_KEY && sinceMs <= deduplicationWindowMs;
        }
    }

    /** A tenant and the rate of its requests, over all nodes together, that counts in full (0: no limit). */
    public record Tenant(double quotaPerSecond) {
        public Tenant {
            need(quotaPerSecond >= 0, "an allowance must not be negative");
        }
    }

    /**
     * What the site allows. {@code tryLimit} counts attempts; {@code maxPauseMs} is 0 where advice is not
     * given; an idle connection closes after {@code connIdleMs}.
     */
    public record SitePermissions(
            boolean cancellation,
            boolean probing,
            boolean hedging,
            int maxAttempts,
            double connectTimeoutMs,
            double maxRetryAfterMs,
            double idleConnectionMs) {
        public SitePermissions {
            need(maxAttempts >= 1, "tryLimit must be at least 1");
            need(connectTimeoutMs >= 0 && maxRetryAfterMs >= 0, "times must not be negative");
            need(idleConnectionMs >= 0, "connIdleMs must not be negative");
        }
    }

    /** Figures of the rules: drain grace, list age, and the cold budget. */
    public record PlatformRules(
            double drainGraceMs,
            double maxListAgeMs,
            double slowStartCapacityShare,
            double slowStartMs,
            double overloadFactor,
            double overloadWindowMs,
            double responseSlackMs) {
        public PlatformRules {
            need(slowStartCapacityShare > 0 && slowStartCapacityShare <= 1, "coldFrom must lie in 0..1");
            need(slowStartMs >= 0 && overloadFactor > 0 && overloadWindowMs > 0, "the cold figures must be above zero");
        }
    }

    /**
     * The settings of a node. {@code balancers}: nodes in the tier; {@code zone}: this node's zone; {@code
     * ask}: the list comes only when asked for; {@code byWork}: worth counts per unit of work; {@code
     * tellsStart} and {@code progressMs}: which notes workers send (0: no progress notes); {@code
     * inOrder}: workers start waiting jobs in the order in which they came; {@code
     * overShare}: worth of a request beyond its tenant's share; {@code crossZone}: price of a send to
     * another zone, as a share of a request.
     */
    public record PolicySettings(
            int dispatcherCount,
            int dispatcherIndex,
            int zone,
            boolean pollsDiscovery,
            boolean weightPerWork,
            boolean workersReportStart,
            double progressIntervalMs,
            boolean fifoWorkers,
            double tickMs,
            double overQuotaWeight,
            double crossZoneCost,
            List<RequestClass> classes,
            List<Tenant> tenants,
            SitePermissions permissions,
            PlatformRules rules) {
        public PolicySettings {
            need(dispatcherCount >= 1, "balancers must be at least 1");
            need(!classes.isEmpty(), "at least one class is needed");
            need(permissions != null && rules != null, "permissions and rules are needed");
            need(overQuotaWeight >= 0 && crossZoneCost >= 0, "worths and prices must not be negative");
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }

        /**
         * The same for each of two processes that are one node: what nodes share out among them, such as the
         * work for a cold worker, is halved, so that both together take what the one would.
         */
        public PolicySettings sharedByTwoProcesses() {
            return withDispatcherCount(2 * dispatcherCount);
        }

        /** The same where so many nodes share each of the workers. */
        public PolicySettings withDispatcherCount(int nodes) {
            return new PolicySettings(
                    nodes,
                    dispatcherIndex,
                    zone,
                    pollsDiscovery,
                    weightPerWork,
                    workersReportStart,
                    progressIntervalMs,
                    fifoWorkers,
                    tickMs,
                    overQuotaWeight,
                    crossZoneCost,
                    classes,
                    tenants,
                    permissions,
                    rules);
        }

        /**
         * Whether a request with so long to go is its client's first try: one with less time left than its
         * class's deadline, by more than an eighth of the shortest aim, is a later try of one seen before.
         */
        public boolean isFirstAttempt(int cls, double leftMs) {
            double aim = Double.MAX_VALUE;
            for (RequestClass c : classes) {
                aim = Math.min(aim, c.latencyObjectiveMs());
            }
            return leftMs >= classes.get(cls).deadlineMs() - aim / 8;
        }

        /** The same with other classes. */
        public PolicySettings withClasses(List<RequestClass> others) {
            return new PolicySettings(
                    dispatcherCount,
                    dispatcherIndex,
                    zone,
                    pollsDiscovery,
                    weightPerWork,
                    workersReportStart,
                    progressIntervalMs,
                    fifoWorkers,
                    tickMs,
                    overQuotaWeight,
                    crossZoneCost,
                    others,
                    tenants,
                    permissions,
                    rules);
        }
    }

    /**
     * A worker as the list shows it. {@code upSinceMs}: when it last started, on the host's clock; 0: long
     * ago.
     */
    public record EndpointEntry(
            String worker,
            EndpointLifecycle lifecycle,
            double weight,
            int workerKind,
            int cell,
            int zone,
            double startedAtMs) {}

    /**
     * A request taken by this node. {@code deadlineUs}: when its client stops waiting; {@code key}: what it
     * concerns, or null; {@code under}: the settings it was taken under, whose rules hold for it to its end;
     * null: the present ones; {@code counts}: what of its worth it counts for: under its tenant's share,
     * 0..1; where a starved tenant is relieved, up to 4; {@code among}: the workers that it may
     * go to, by id, null: any; its answer may change while it is open.
     */
    public record PolicyRequest(
            long id,
            int classIndex,
            int tenantIndex,
            long deadlineUs,
            double workHintMs,
            double slots,
            double memoryUnits,
            String affinityKey,
            PolicySettings acceptedSettings,
            double weightFactor,
            Predicate<String> eligibleWorkers) {
        /** To any worker. */
        public PolicyRequest(
                long id,
                int cls,
                int tenant,
                long deadlineUs,
                double workMs,
                double slots,
                double memory,
                String key,
                PolicySettings under,
                double counts) {
            this(id, cls, tenant, deadlineUs, workMs, slots, memory, key, under, counts, null);
        }

        boolean mayGoTo(String worker) {
            return eligibleWorkers == null || eligibleWorkers.test(worker);
        }

        /** Under the present settings. */
        public PolicyRequest(
                long id, int cls, int tenant, long deadlineUs, double workMs, double slots, double memory, String key) {
            this(id, cls, tenant, deadlineUs, workMs, slots, memory, key, null, 1);
        }

        /** A request without a key. */
        public PolicyRequest(
                long id, int cls, int tenant, long deadlineUs, double workMs, double slots, double memory) {
            this(id, cls, tenant, deadlineUs, workMs, slots, memory, null, null, 1);
        }
    }

    /**
     * A worker's load report; NaN where a figure is absent. {@code util} is the share of its CPU that is
     * busy.
     */
    public record LoadReport(
            double activeRequests,
            double queuedRequests,
            double cpuUtilization,
            double meanServiceMs,
            double freeSlots,
            double freeMemoryUnits) {}

    /** What a host tells a node. Nothing else moves it. */
    public interface PolicyEvents {
        /**
         * Other settings hold from now on, for requests taken from now on; what was learnt stays. Classes
         * keep their places: new ones stand behind those there were.
         */
        void settingsChanged(long nowUs, PolicySettings next);

        /** News of the worker list. {@code version} only grows. */
        void endpointListReceived(long nowUs, EndpointListKind kind, long version, List<EndpointEntry> entries);

        /** Discovery has told all that it has, and a watch goes on telling. */
        void endpointListConfirmed(long nowUs);

        /** The list is in doubt, last heard of so long ago; the host sees to a new watch without a word from here. */
        void endpointListUnconfirmed(long nowUs, EndpointListDoubt why, double heardAgoMs);

        /** A watch or fetch failed, or the watch broke, last heard so long ago. */
        void endpointWatchFailed(long nowUs, EndpointWatchFailure loss, double heardAgoMs);

        /** A request was taken. Its id must be new. */
        void requestAccepted(long nowUs, PolicyRequest request);

        /** The attempt has started (share 0) or has done this share of its work. */
        void attemptProgressed(long nowUs, long id, int attempt, String worker, boolean started, double share);

        /** A streamed answer has started. */
        void responseStarted(long nowUs, long id, int attempt, String worker);

        /**
         * An attempt is over. {@code ended}: the request has ended, by this or earlier. {@code report} may
         * be null.
         */
        void attemptEnded(
                long nowUs,
                long id,
                int attempt,
                String worker,
                AttemptOutcome verdict,
                double lagMs,
                boolean ended,
                LoadReport report);

        /** Nobody waits for the request any more. */
        void requestAbandoned(long nowUs, long id);

        /** A timer set with {@link PolicyActions#scheduleTimer} is due. */
        void timerExpired(long nowUs, long label);

        /** A probe ended. {@code report} may be null. */
        void probeEnded(long nowUs, String worker, AttemptOutcome verdict, double lagMs, LoadReport report);
    }

    /** What a node tells its host. None of these calls may call back into the node. */
    public interface PolicyActions {
        /** Send the request to the worker: its next attempt, counted from 0. */
        void sendAttempt(long id, String worker);

        /** End the request; the client may safely try again, after {@code pauseMs} if above 0. */
        void reject(long id, double pauseMs, RejectionReason why);

        /** End the request with an error; nothing is promised. */
        void fail(long id, RejectionReason why);

        /** Call off an attempt; it still gets its outcome. */
        void cancelAttempt(long id, int attempt);

        /** Probe a worker. */
        void probe(String worker);

        /** Subscribe to the list. */
        void watchEndpointList();

        /** Ask for the event {@code timer} after this long. */
        void scheduleTimer(double delayMs, long label);

        /** How far the list can be relied on has changed, so long after it was last confirmed. */
        void listStateChanged(EndpointListState from, EndpointListState to, double ageMs);

        /** A line for the operators. */
        void log(String line);
    }

    static void need(boolean ok, String message) {
        if (!ok) {
            throw new IllegalArgumentException(message);
        }
    }
}
