package maplespread.worker;

import java.util.List;

/**
 * What goes on to the worker. {@code id}: the X-Txn; {@code lane}: the class's name; {@code fields}: other
 * headers, as pairs.
 */
public record WorkerRequest(String method, String target, String id, String lane, List<String[]> fields, byte[] body) {}
