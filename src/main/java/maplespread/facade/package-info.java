/**
 * A blocking, thread-safe interface to the policy for network code of any protocol. {@link
 * maplespread.facade.DecisionService} owns the requests in flight, the endpoints, the policy's timers and the pending
 * actions, all under one lock; any thread may call it. May import {@code policy}, {@code quota}, {@code metrics} and
 * {@code log}; depends on no socket and no protocol.
 */
package maplespread.facade;
