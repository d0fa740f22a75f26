package maplespread.worker;

import java.util.List;

/**
 * A request in the form that is sent to a worker.
 *
 * @param id the value of the X-Txn header
 * @param requestClass the name of the request class
 * @param fields the other header fields, each a name and a value
 */
public record WorkerRequest(
        String method, String target, String id, String requestClass, List<String[]> fields, byte[] body) {}
