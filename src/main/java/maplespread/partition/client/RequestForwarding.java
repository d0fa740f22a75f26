package maplespread.partition.client;

import java.util.Optional;
import maplespread.caller.RequestSequencer;
import maplespread.caller.RequestSequencer.ClientLeft;
import maplespread.caller.RequestSequencer.SequencingResult;
import maplespread.http.HttpWriter;
import maplespread.worker.PeerForwarder;

/**
 * Sends a request to the member that owns its key's slot, as a client would, and turns the owner's response into the
 * client's response. Runs on the request's own thread, never under a lock.
 */
final class RequestForwarding {
    private final String name;
    private final PeerForwarder forwarder;

    /** {@code name} is the name of this dispatcher. */
    RequestForwarding(String name, PeerForwarder forwarder) {
        this.name = name;
        this.forwarder = forwarder;
    }

    /**
     * Forwards the request; returns empty if the owner did not accept it, so that it may be routed again. Blocks until
     * the request's deadline at most.
     */
    Optional<SequencingResult> forward(PendingRequest request, PendingRequest.ForwardTarget target) {
        PeerForwarder.Result result = forwarder.run(
                request,
                target.address(),
                head(request, target),
                request.sequenced.message().body(),
                Math.max(1, request.remainingMs()),
                () -> request.clientLeft);
        boolean moved = OrderResponses.isMoved(result);
        if (request.clientLeft || moved) {
            result.memory().release();
        }
        if (request.clientLeft) {
            return Optional.of(new ClientLeft());
        }
        return switch (result.status()) {
            case NOT_SENT -> Optional.empty();
            case LOST -> Optional.of(OrderResponses.lostAtOwner());
            case ANSWERED -> moved ? Optional.empty() : Optional.of(OrderResponses.fromOwner(result));
        };
    }

    /** Stops waiting for the owner's response, as the client has left or the owner has lost the slot. */
    void cancel(PendingRequest request) {
        forwarder.cancel(request);
    }

    private HttpWriter head(PendingRequest request, PendingRequest.ForwardTarget target) {
        HttpWriter head = HttpWriter.request(
                        request.sequenced.message().method(),
                        request.sequenced.message().target(),
                        target.address())
                .field("X-Txn", request.sequenced.message().id())
                .field("X-Remaining-Ms", Long.toString(Math.max(1, request.remainingMs())))
                .field(RequestSequencer.FORWARDED_BY_HEADER, name + ' ' + target.epoch());
        request.sequenced.fields().forEach(field -> head.field(field[0], field[1]));
        return head;
    }
}
