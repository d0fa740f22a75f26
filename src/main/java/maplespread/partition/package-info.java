/**
 * Ordered partitions: rules that map a request's attributes to a part of the workers and an order, which member may
 * send for a key, and what waits for its turn.
 *
 * <p>Owns the routing table and its parser, the assignment of slots to members, the fencing check, the lines of the
 * keys and the table of heartbeats. No sockets, files, clock or threads: time is passed in, and callers hold a lock
 * where a class says so. May import only the errors' package, the policy's hash, and Gson; {@code partition.client}
 * puts it to work.
 */
package maplespread.partition;
