/**
 * Computes the subset of workers to which one dispatcher keeps connections and which its policy may use. The
 * dispatchers together cover the workers evenly, and a dispatcher or worker that joins or leaves moves few connections.
 * Does no input or output and has no clock and no threads; its only randomness is a seed. May import only {@code
 * policy}'s hash.
 */
package maplespread.subset;
