/**
 * Order over the whole fleet, on threads, clock and sockets: the lines of the keys that this member owns, the
 * lease that it asks for, and jobs that are handed to their keys' owners. May call the partition, the group,
 * the register, the caller's and the worker's side, the console's calls and the log.
 */
package maplespread.partition.client;
