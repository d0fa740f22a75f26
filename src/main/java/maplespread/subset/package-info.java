/**
 * Decides which workers one dispatcher of many keeps connections to and offers the policy, so that the
 * dispatchers together cover the workers evenly, and a dispatcher or worker that joins or leaves moves few
 * connections. Does no input or output and has no clock, threads or randomness but a seed. May import
 * {@code policy}'s hash alone.
 */
package maplespread.subset;
