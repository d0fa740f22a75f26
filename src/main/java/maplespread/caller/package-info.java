/**
 * The client side: the listener, a thread and a {@link maplespread.caller.ClientConnection} for each connection, one
 * response for each request. Owns the ids of recent requests and the limits on connections and requests. Reaches the
 * policy only through {@code facade}; may also import {@code http}, {@code worker}, {@code config}, {@code metrics} and
 * {@code log}.
 */
package maplespread.caller;
