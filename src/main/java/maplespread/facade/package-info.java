/**
 * The policy behind blocking calls, for network code of any protocol. {@link maplespread.facade.DecisionService} owns the
 * requests in flight, the endpoints, the policy's timers and the actions to be carried out, all under one lock; any thread
 * may call it. May import {@code policy}, {@code quota}, {@code metrics} and {@code log}; knows no socket and no protocol.
 */
package maplespread.facade;
