/**
 * Ordered partitions: rules map a request's attributes to a subset of the workers and to an order; slots of keys decide
 * which member may send a request; queues hold the requests that wait.
 *
 * <p>Contains the routing table and its parser, the assignment of slots to members, the fencing check, the queues of
 * the keys, and the table of heartbeats. Uses no sockets, files, clock or threads: the time is passed in, and callers
 * hold a lock where a class says so. May import only the package of errors, the hash of the policy package, and Gson;
 * {@code partition.client} connects these classes to the running dispatcher.
 */
package maplespread.partition;
