/**
 * Ordered partitions in a running dispatcher: the lease that this member requests, the decided assignment, the queues
 * of the keys that this member owns, and the forwarding of requests to the owners of their keys.
 *
 * <p>{@link maplespread.partition.client.PartitionService} creates the parts and runs three threads. {@link
 * maplespread.partition.client.OrderingState} and {@link maplespread.partition.client.OrderedLines} are the state by
 * which requests are ordered, under one lock. {@link maplespread.partition.client.AssignmentStore} applies decided
 * values under its own monitor, which is never acquired under that lock.
 *
 * <p>May import the partition's rules, the cluster's transport and register, the client's and the worker's side, the
 * admin server's calls and the log.
 */
package maplespread.partition.client;
