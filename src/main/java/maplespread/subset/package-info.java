/**
 * Subsets: which workers one dispatcher among many keeps connections to and offers the module, so that the
 * dispatchers together cover the workers evenly and a dispatcher or worker that comes or goes moves few
 * connections. Pure: no sockets, clock, threads or randomness but a seed; depends on {@code java..} and the
 * module's hash.
 * Not part of {@code serve} yet: see docs/fleet.md.
 */
package maplespread.subset;
