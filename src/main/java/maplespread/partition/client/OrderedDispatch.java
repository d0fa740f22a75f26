package maplespread.partition.client;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplespread.caller.RequestSequencer;
import maplespread.facade.InFlightRequest;
import maplespread.facade.Outcome;
import maplespread.partition.FencingCheck;
import maplespread.partition.RoutingTable;
import maplespread.partition.RoutingTableTransition.RoutingDecision;
import maplespread.partition.Rule;
import maplespread.partition.SlotAssignment;
import maplespread.worker.PeerForwarder;

/**
 * Gives each request its permit or its response: at once where its rule has no order, in the line of its key where
 * this member owns the key's slot, by forwarding where another one does. All of it runs on the request's own
 * thread, which waits under the {@link OrderingLock} and forwards without it.
 */
final class OrderedDispatch implements RequestSequencer {
    /** How often a request that can go nowhere looks again at what may have changed elsewhere. */
    private static final long RECHECK_MS = 10;
    /** After each rejected forward the wait doubles, up to {@link #RECHECK_MS} times two to this power. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private final OrderingState state;
    private final OrderingLock lock;
    private final OrderedLines lines;
    private final PartitionEndpoints endpoints;
    private final ClusterOperations operations;
    private final OrderResponses responses;
    private final RequestForwarding forwarding;
    /** Requests whose thread is in {@link #acquire}; guarded by the lock. */
    private final IdentityHashMap<InFlightRequest, PendingRequest> pending = new IdentityHashMap<>();

    /** {@code name}: of this dispatcher. */
    OrderedDispatch(
            String name,
            OrderingState state,
            PartitionEndpoints endpoints,
            PeerForwarder forwarder,
            ClusterOperations operations) {
        this.state = state;
        lock = state.lock();
        lines = state.lines();
        this.endpoints = endpoints;
        this.operations = operations;
        responses = new OrderResponses(operations::maxRetryAfterMs);
        forwarding = new RequestForwarding(name, forwarder);
    }

    // ------------------------------------------------------------ the way of a request

    /** One look at what becomes of a request: a result, or what to do next. */
    private record Step(Kind kind, SequencingResult result) {
        private enum Kind {
            RESULT,
            FORWARD,
            DECIDE_AGAIN,
            WAIT
        }

        static final Step FORWARD = new Step(Kind.FORWARD, null);
        static final Step DECIDE_AGAIN = new Step(Kind.DECIDE_AGAIN, null);
        static final Step WAIT = new Step(Kind.WAIT, null);

        static Step result(SequencingResult result) {
            return new Step(Kind.RESULT, result);
        }
    }

    @Override
    public SequencingResult acquire(SequencedRequest sequenced) throws InterruptedException {
        PendingRequest request = new PendingRequest(sequenced);
        lock.locked(() -> pending.put(sequenced.request(), request));
        try {
            while (true) {
                Optional<SequencingResult> result = decideHere(request);
                if (result.isEmpty()) {
                    result = forward(request);
                }
                if (result.isPresent()) {
                    return result.get();
                }
            }
        } finally {
            lock.locked(() -> pending.remove(sequenced.request()));
        }
    }

    @Override
    public void clientLeft(InFlightRequest inFlight) {
        PendingRequest request = lock.locked(() -> {
            PendingRequest found = pending.get(inFlight);
            if (found != null) {
                found.clientLeft = true;
                if (found.queued != null) {
                    found.queued.decided.signal();
                }
            }
            return found;
        });
        if (request != null) {
            forwarding.cancel(request);
        }
    }

    /** What becomes of the request as far as this member goes; empty: it is to be forwarded to its target. */
    private Optional<SequencingResult> decideHere(PendingRequest request) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (!request.clientLeft) {
                Step step = decideOnce(request);
                switch (step.kind) {
                    case RESULT -> {
                        return Optional.of(step.result);
                    }
                    case FORWARD -> {
                        return Optional.empty();
                    }
                    case WAIT -> state.awaitChange(RECHECK_MS);
                    case DECIDE_AGAIN -> {} // its slot went to another member while it waited in line
                }
            }
            return Optional.of(new ClientLeft());
        } finally {
            lock.unlock();
        }
    }

    private Step decideOnce(PendingRequest request) throws InterruptedException {
        long nowMs = MonotonicTime.nowMs();
        Optional<RoutingDecision> agreed = state.decide(nowMs, request.attributes);
        Rule rule =
                agreed.isPresent() ? agreed.get().rule() : state.tableInForce().decide(request.attributes);
        if (!rule.isOrdered()) {
            return Step.result(request.isForwarded() ? responses.moved() : permitUnordered(request, rule));
        }
        if (rule.keyOf(request.attributes) == null) {
            return Step.result(OrderResponses.missingAttribute(rule.key()));
        }
        return agreed.isPresent()
                ? decideBySlot(request, agreed.get(), nowMs)
                : forwardOrWait(request, OrderReason.NO_LEASE);
    }

    private Step decideBySlot(PendingRequest request, RoutingDecision decision, long nowMs)
            throws InterruptedException {
        SlotAssignment assignment = state.assignmentInForce();
        int slotNumber = assignment.slotOf(decision.key());
        SlotAssignment.Slot slot = assignment.slots().get(slotNumber);
        boolean own = slot.owner().equals(state.member());
        if (request.isForwarded() && (!own || request.forwarderIsAhead(assignment.epoch()))) {
            return Step.result(responses.moved());
        }
        if (own && state.slotAllowsFrom(nowMs, slotNumber, slot.ownedSinceEpoch()) != FencingCheck.NEVER) {
            return waitInLine(request, decision, slot.ownedSinceEpoch())
                    .map(Step::result)
                    .orElse(Step.DECIDE_AGAIN);
        }
        boolean another = !own && !slot.owner().isEmpty();
        String address = another ? operations.address(slot.owner()) : null;
        request.target = address == null
                ? null
                : new PendingRequest.ForwardTarget(address, slot.owner(), slotNumber, assignment.epoch());
        return forwardOrWait(request, another ? OrderReason.MOVED : OrderReason.NO_LEASE);
    }

    private Step forwardOrWait(PendingRequest request, OrderReason whyNotHere) {
        if (request.isForwarded()) {
            return Step.result(responses.moved());
        }
        if (request.isLate()) {
            return Step.result(responses.rejected(whyNotHere, OrderResponses.MOVED_RETRY_MS, true));
        }
        return request.target != null ? Step.FORWARD : Step.WAIT;
    }

    /** Waits in the line of its key; empty: its slot went to another member before its turn. */
    private Optional<SequencingResult> waitInLine(PendingRequest request, RoutingDecision decision, long slotOwnedSince)
            throws InterruptedException {
        RoutingTable table = state.tableInForce();
        PartitionEndpoints.PartitionWorkers workers =
                endpoints.workersOf(table.partitions().get(decision.rule().partition()));
        if (!workers.hasServingWorker()) {
            return Optional.of(responses.rejected(OrderReason.NO_WORKER, OrderResponses.QUEUE_RETRY_MS, true));
        }
        long nowMs = MonotonicTime.nowMs();
        OrderedRequest ordered = new OrderedRequest(state, responses, request, decision, slotOwnedSince);
        lines.register(ordered);
        try {
            lines.enqueue(nowMs, ordered);
            while (!ordered.sent && ordered.rejection == null && !request.clientLeft) {
                ordered.decided.await();
            }
        } finally {
            lines.withdraw(ordered);
        }
        if (ordered.sent) {
            request.sequenced.request().restrict(workers, ordered::isValid);
            return Optional.of(ordered);
        }
        return request.clientLeft ? Optional.of(new ClientLeft()) : rejectedInLine(ordered);
    }

    /** Empty: it is to be decided anew. */
    private Optional<SequencingResult> rejectedInLine(OrderedRequest ordered) {
        return switch (ordered.rejection) {
            case MOVED -> ordered.request.isForwarded() ? Optional.of(responses.moved()) : Optional.empty();
            case STOPPED -> Optional.of(OrderResponses.keyStopped(ordered.key));
            default ->
                Optional.of(responses.rejected(OrderReason.of(ordered.rejection), OrderResponses.QUEUE_RETRY_MS, true));
        };
    }

    /** To the rule's partition, or where that has no worker to the first of its spill partitions that has one. */
    private Permit permitUnordered(PendingRequest request, Rule rule) {
        RoutingTable table = state.tableInForce();
        List<String> candidates = new ArrayList<>(List.of(rule.partition()));
        candidates.addAll(rule.spill());
        String chosen = candidates.stream()
                .filter(name ->
                        endpoints.workersOf(table.partitions().get(name)).hasServingWorker())
                .findFirst()
                .orElse(rule.partition());
        request.sequenced
                .request()
                .restrict(endpoints.workersOf(table.partitions().get(chosen)), null);
        return UnorderedPermit.INSTANCE;
    }

    /** Forwards the request, not under the lock; empty: its owner did not accept it, so it is decided anew. */
    private Optional<SequencingResult> forward(PendingRequest request) throws InterruptedException {
        Optional<SequencingResult> result = forwarding.forward(request, request.target);
        if (result.isPresent()) {
            return result;
        }
        request.target = null;
        long backoffMs = RECHECK_MS << Math.min(request.rejectedForwards, MAX_BACKOFF_DOUBLINGS);
        request.rejectedForwards++;
        lock.lockInterruptibly();
        try { // until it may have been agreed anew who owns the slot
            state.awaitChange(Math.min(backoffMs, Math.max(1, request.remainingMs())));
        } finally {
            lock.unlock();
        }
        return Optional.empty();
    }

    /** Of a request without an order: its rule says only which workers it may go to. */
    private enum UnorderedPermit implements Permit {
        INSTANCE;

        @Override
        public boolean isValid() {
            return true;
        }

        @Override
        public void attemptCompleted(Outcome outcome) {
            // an attempt without an order holds nothing
        }

        @Override
        public Completion release(boolean served) {
            return Completion.ENDED;
        }

        @Override
        public FinalResponse permitLostResponse() {
            return null; // is always valid, so never asked for
        }
    }

    // ------------------------------------------------------------ what the fleet agrees on

    /**
     * Takes up a value that was agreed on, with its tables; false: it is no later than the known one. Requests that
     * were forwarded to a member that was silent and has now lost their slots are in doubt at once, whether they
     * are still waited for or not.
     */
    boolean learn(SlotAssignment next, RoutingTable current, RoutingTable previous) {
        boolean learned = state.learn(next, current, previous);
        if (learned) {
            List<PendingRequest> lost = lock.locked(() -> pending.values().stream()
                    .filter(request -> isLost(request.target, next))
                    .toList());
            lost.forEach(forwarding::cancel);
        }
        return learned;
    }

    private static boolean isLost(PendingRequest.ForwardTarget target, SlotAssignment assignment) {
        if (target == null || target.slot() >= assignment.slots().size()) {
            return false;
        }
        Map<String, Long> previousOwners = assignment.slots().get(target.slot()).previousOwners();
        return previousOwners.getOrDefault(target.owner(), 0L) > 0;
    }
}
