package maplespread.address;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Tracks which electors a recovering elector has read: a source is complete when all parts of one response arrived. */
final class SyncProgress {
    /** The received parts of one response. */
    private record Response(long incarnation, long number, Set<String> parts) {
        boolean isOf(ClaimMessage message) {
            return incarnation == message.incarnation() && number == message.attempt();
        }
    }

    private final Map<String, Response> responses = new HashMap<>();
    private final Set<String> completeSources = new HashSet<>();

    /** Adds one part of a response. */
    void add(ClaimMessage part) {
        Response response = responses.get(part.sender());
        if (response == null || !response.isOf(part)) {
            response = new Response(part.incarnation(), part.attempt(), new HashSet<>());
            responses.put(part.sender(), response);
        }
        response.parts().add(part.id());
        if (response.parts().size() == part.term()) {
            completeSources.add(part.sender());
        }
    }

    /** The number of electors of which a whole response was received. */
    int completeSources() {
        return completeSources.size();
    }
}
