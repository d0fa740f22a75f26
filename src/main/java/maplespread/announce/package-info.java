/**
 * How the owner of the service address announces it to the installation's router: a BGP-4 speaker (RFC 4271) for one IPv4
 * unicast prefix towards one internal peer. {@link maplespread.announce.BgpSpeaker} is the session,
 * {@link maplespread.announce.BgpEncoder} and {@link maplespread.announce.BgpDecoder} are the form of its messages.
 *
 * <p>Owns the session's state. No sockets, files, clock or threads: bytes and time are passed in, and one thread at a
 * time calls in. May import no other package of the project.
 */
package maplespread.announce;
