package maplespread.worker;

import java.util.List;

/**
 * What is sent to a worker. {@code id}: the X-Txn; {@code lane}: the class's name; {@code fields}: other headers, each a name
 * and a value.
 */
public record WorkerRequest(String method, String target, String id, String lane, List<String[]> fields, byte[] body) {}
