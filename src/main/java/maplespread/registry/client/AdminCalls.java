package maplespread.registry.client;

import java.util.ArrayList;
import java.util.List;
import maplespread.registry.CallOutcome;
import maplespread.registry.RegistrySettings;
import maplespread.registry.client.RegistryAdmin.RegistryAdminException;
import maplespread.registry.wire.RegistryRequest;

/** Makes single calls to the registry's servers, one server after the other until one answers. */
final class AdminCalls {
    /** A person waits for the answer: no staleness limit applies here. */
    private static final long ANSWER_MS = 3000;

    private final RegistrySettings settings;
    private final RegistryConnection connection;

    AdminCalls(RegistrySettings settings, RegistryConnection connection) {
        this.settings = settings;
        this.connection = connection;
    }

    /** Reads, or repeats what may be done twice: it may be asked again at the next server. */
    String read(RegistryRequest request) throws RegistryAdminException {
        return call(request, true, false);
    }

    /** The same; an empty text where there is nothing (status 404). */
    String readOrNone(RegistryRequest request) throws RegistryAdminException {
        return call(request, true, true);
    }

    /** Writes: where the answer is lost it may have been done, so that is said and nothing is sent again. */
    String write(RegistryRequest request) throws RegistryAdminException {
        return call(request, false, false);
    }

    private String call(RegistryRequest request, boolean repeatable, boolean orNone) throws RegistryAdminException {
        List<String> failures = new ArrayList<>();
        for (String server : settings.endpoints()) {
            try {
                return connection
                        .call(server, request, RegistryClient.nowMs() + ANSWER_MS, orNone)
                        .body();
            } catch (RegistryConnection.CallFailedException e) {
                failures.add(server + ": " + e.getMessage());
                if (!repeatable && !notDone(e.outcome)) {
                    throw new RegistryAdminException(String.join("; ", failures) + " (it may have been done)");
                }
            }
        }
        throw new RegistryAdminException(String.join("; ", failures));
    }

    /** Whether the outcome proves that the registry has not done it. */
    private static boolean notDone(CallOutcome outcome) {
        return outcome == CallOutcome.REFUSED || outcome == CallOutcome.DENIED || outcome == CallOutcome.ERROR;
    }
}
