/**
 * The owner of the service address, and the claims on request ids. {@link maplespread.address.LeaderElection} elects
 * the owner by a lease of a majority, with terms as fencing numbers; {@link maplespread.address.ClaimClient} and
 * {@link maplespread.address.ClaimTable} prevent two owners from sending the same request id.
 *
 * <p>Owns this instance's votes and lease, its own claims and those that it holds for others. No sockets, files, clock
 * or threads: time is passed in, and one thread at a time calls in. May import no other package of the project.
 */
package maplespread.address;
