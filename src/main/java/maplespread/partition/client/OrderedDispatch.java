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
 * Gives each request its permit or its final response: at once if its rule is unordered, through the queue of its key
 * if this member owns the key's slot, by forwarding if another member owns the slot. Each request is handled on its
 * own thread, which waits under the {@link OrderingLock} and forwards without holding the lock.
 */
final class OrderedDispatch implements RequestSequencer {
    /**
     * Longest wait before a request that can be neither sent nor forwarded is decided again; also the first backoff
     * after a rejected forward.
     */
    private static final long RECHECK_INTERVAL_MS = 10;
    /** The backoff doubles after each rejected forward, up to {@link #RECHECK_INTERVAL_MS} times two to this power. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private final OrderingState state;
    private final OrderingLock lock;
    private final OrderedLines lines;
    private final PartitionEndpoints endpoints;
    private final ClusterOperations operations;
    private final OrderResponses responses;
    private final RequestForwarding forwarding;
    /** Requests whose threads are in {@link #acquire}. Guarded by {@link #lock}. */
    private final IdentityHashMap<InFlightRequest, PendingRequest> pending = new IdentityHashMap<>();

    /** {@code name} is the name of this dispatcher. */
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

    // ------------------------------------------------------------ request path

    /** The outcome of one decision about a request: its result, or what to do next. */
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
                Optional<SequencingResult> result = decideLocally(request);
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

    /** Decides the request on this member; returns empty if the request is to be forwarded to its target. */
    private Optional<SequencingResult> decideLocally(PendingRequest request) throws InterruptedException {
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
                    case WAIT -> state.awaitChange(RECHECK_INTERVAL_MS);
                    case DECIDE_AGAIN -> {} // the slot moved to another member while the request was queued
                }
            }
            return Optional.of(new ClientLeft());
        } finally {
            lock.unlock();
        }
    }

    private Step decideOnce(PendingRequest request) throws InterruptedException {
        long nowMs = MonotonicTime.nowMs();
        Optional<RoutingDecision> routing = state.decide(nowMs, request.attributes);
        Rule rule = routing.isPresent()
                ? routing.get().rule()
                : state.tableInForce().decide(request.attributes);
        if (!rule.isOrdered()) {
            return Step.result(request.isForwarded() ? responses.moved() : permitUnordered(request, rule));
        }
        if (rule.keyOf(request.attributes) == null) {
            return Step.result(OrderResponses.missingAttribute(rule.key()));
        }
        return routing.isPresent()
                ? decideBySlot(request, routing.get(), nowMs)
                : forwardOrWait(request, OrderReason.NO_LEASE);
    }

    private Step decideBySlot(PendingRequest request, RoutingDecision decision, long nowMs)
            throws InterruptedException {
        SlotAssignment assignment = state.assignmentInForce();
        int slotNumber = assignment.slotOf(decision.key());
        SlotAssignment.Slot slot = assignment.slots().get(slotNumber);
        boolean ownedHere = slot.owner().equals(state.member());
        if (request.isForwarded() && (!ownedHere || request.forwarderIsAhead(assignment.epoch()))) {
            return Step.result(responses.moved());
        }
        if (ownedHere && state.slotAllowsFrom(nowMs, slotNumber, slot.ownedSinceEpoch()) != FencingCheck.NEVER) {
            return waitInQueue(request, decision, slot.ownedSinceEpoch())
                    .map(Step::result)
                    .orElse(Step.DECIDE_AGAIN);
        }
        boolean ownedByPeer = !ownedHere && !slot.owner().isEmpty();
        String address = ownedByPeer ? operations.address(slot.owner()) : null;
        request.target = address == null
                ? null
                : new PendingRequest.ForwardTarget(address, slot.owner(), slotNumber, assignment.epoch());
        return forwardOrWait(request, ownedByPeer ? OrderReason.MOVED : OrderReason.NO_LEASE);
    }

    private Step forwardOrWait(PendingRequest request, OrderReason reason) {
        if (request.isForwarded()) {
            return Step.result(responses.moved());
        }
        if (request.isLate()) {
            return Step.result(responses.rejected(reason, OrderResponses.MOVED_RETRY_MS, true));
        }
        return request.target != null ? Step.FORWARD : Step.WAIT;
    }

    /** Waits in the queue of the key; returns empty if the slot moved to another member before the request was sent. */
    private Optional<SequencingResult> waitInQueue(
            PendingRequest request, RoutingDecision decision, long slotOwnedSince) throws InterruptedException {
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
        return request.clientLeft ? Optional.of(new ClientLeft()) : rejectedInQueue(ordered);
    }

    /** The result for a request that was rejected from its key's queue; empty if the request is to be decided again. */
    private Optional<SequencingResult> rejectedInQueue(OrderedRequest ordered) {
        return switch (ordered.rejection) {
            case MOVED -> ordered.request.isForwarded() ? Optional.of(responses.moved()) : Optional.empty();
            case STOPPED -> Optional.of(OrderResponses.keyStopped(ordered.key));
            default ->
                Optional.of(responses.rejected(OrderReason.of(ordered.rejection), OrderResponses.QUEUE_RETRY_MS, true));
        };
    }

    /**
     * Restricts the request to the workers of the rule's partition or, if none of them is serving, to the workers of
     * the first spill partition that has a serving worker.
     */
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

    /**
     * Forwards the request without holding the lock; returns empty if the owner did not accept the request, which is
     * then decided again.
     */
    private Optional<SequencingResult> forward(PendingRequest request) throws InterruptedException {
        Optional<SequencingResult> result = forwarding.forward(request, request.target);
        if (result.isPresent()) {
            return result;
        }
        request.target = null;
        long backoffMs = RECHECK_INTERVAL_MS << Math.min(request.rejectedForwards, MAX_BACKOFF_DOUBLINGS);
        request.rejectedForwards++;
        lock.lockInterruptibly();
        try { // a change of the slot's owner ends the backoff
            state.awaitChange(Math.min(backoffMs, Math.max(1, request.remainingMs())));
        } finally {
            lock.unlock();
        }
        return Optional.empty();
    }

    /** The permit of an unordered request, whose rule only restricts its workers. */
    private enum UnorderedPermit implements Permit {
        INSTANCE;

        @Override
        public boolean isValid() {
            return true;
        }

        @Override
        public void attemptCompleted(Outcome outcome) {
            // an unordered request holds up no other request
        }

        @Override
        public Completion release(boolean served) {
            return Completion.ENDED;
        }

        @Override
        public FinalResponse permitLostResponse() {
            return null; // never called, as this permit is always valid
        }
    }

    // ------------------------------------------------------------ decided assignments

    /**
     * Applies a decided assignment and its routing tables; returns false if the assignment is no newer than the known
     * one. Cancels the requests that await a response from a silent member which has now lost their slots; they end at
     * once with an unknown outcome.
     */
    boolean learn(SlotAssignment next, RoutingTable current, RoutingTable previous) {
        boolean learned = state.learn(next, current, previous);
        if (learned) {
            List<PendingRequest> lostRequests = lock.locked(() -> pending.values().stream()
                    .filter(request -> isTargetLost(request.target, next))
                    .toList());
            lostRequests.forEach(forwarding::cancel);
        }
        return learned;
    }

    private static boolean isTargetLost(PendingRequest.ForwardTarget target, SlotAssignment assignment) {
        if (target == null || target.slot() >= assignment.slots().size()) {
            return false;
        }
        Map<String, Long> previousOwners = assignment.slots().get(target.slot()).previousOwners();
        return previousOwners.getOrDefault(target.owner(), 0L) > 0;
    }
}
