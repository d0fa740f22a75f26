/**
 * Who owns the service address, and which order may be sent. {@link maplespread.address.LeaderElection} elects the owner
 * by a lease of a majority, with terms as fencing numbers; {@link maplespread.address.ClaimClient} and
 * {@link maplespread.address.ClaimTable} keep two owners from sending one order id.
 *
 * <p>Owns the votes of this instance, its lease, its claims and those that it holds for others. No sockets, files, clock
 * or threads: time is passed in, and one thread at a time calls in. May import no other package of the project.
 */
package maplespread.address;
