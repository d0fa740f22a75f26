/**
 * Ordered partitions in a running dispatcher: the lease that this member asks for, the assignment that is agreed on,
 * the lines of the keys that it owns, and requests that are forwarded to their keys' owners.
 *
 * <p>{@link maplespread.partition.client.PartitionService} ties the parts together and runs three threads.
 * {@link maplespread.partition.client.OrderingState} and {@link maplespread.partition.client.OrderedLines} are the state
 * that requests go by, under one lock; {@link
 * maplespread.partition.client.AssignmentStore} takes up agreed values under a monitor of its own, which is never
 * taken under that lock. May import the partition's rules, the cluster's transport and register, the client's and the
 * worker's side, the admin server's calls and the log.
 */
package maplespread.partition.client;
