/**
 * Clients: the listener, a thread and a {@link maplespread.caller.ClientConnection} for each connection, one response for
 * each request. Owns the ids of recent requests and the limits on what is held at once. Everything that it asks of the
 * policy goes through {@code facade}; may also import {@code http}, {@code worker}, {@code config}, {@code metrics} and
 * {@code log}.
 */
package maplespread.caller;
