package maplespread.address;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which other electors an elector that recovers has read: all parts of one of their responses must have come. */
final class SyncProgress {
    /** The parts that have come of one response. */
    private record Response(long incarnation, long number, Set<String> parts) {
        boolean isOf(ClaimMessage message) {
            return incarnation == message.incarnation() && number == message.attempt();
        }
    }

    private final Map<String, Response> responses = new HashMap<>();
    private final Set<String> completeSources = new HashSet<>();

    /** Takes one part of a response. */
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

    /** How many electors were read whole. */
    int completeSources() {
        return completeSources.size();
    }
}
