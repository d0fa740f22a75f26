/**
 * Real {@code serve} processes on loopback among stand-in workers, discovery and clients, with faults thrown
 * between them. Every order is counted where it runs. Bounded in count and time; ends all that it has
 * started.
 *
 * <p>Each pair of a dispatcher and a peer has a way of its own ({@link maplespread.lab.rig.FaultLink}), told apart
 * by the port that this dispatcher alone is given: faults lie between two, not on one. They act inside the
 * stand-ins and not in proxies beside them, which would cost two threads a connection more and could not tell
 * whether a job had run when its answer was lost.
 */
package maplespread.lab.rig;
