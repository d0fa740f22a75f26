/**
 * Which other dispatchers are there: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2017), the
 * form of its messages, and the authentication of packets.
 *
 * <p>{@link maplespread.membership.SwimMembership} is one member's view of the group and its failure detector;
 * {@link maplespread.membership.PacketAuthenticator} seals and opens packets, for other parts' channels, too.
 *
 * <p>Owns the view of the group. No sockets, files, clock or threads: time is passed in, and one thread at a time calls
 * in. May import no other package of the project.
 */
package maplespread.membership;
