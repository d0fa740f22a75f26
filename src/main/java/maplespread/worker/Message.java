package maplespread.worker;

import java.util.List;

/** What goes on to the worker. {@code id}: the X-Txn; {@code fields}: other headers, as pairs. */
public record Message(String method, String target, String id, List<String[]> fields, byte[] body) { }
