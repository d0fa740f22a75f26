/**
 * How the owner of the service address tells the installation's router: a BGP-4 speaker (RFC 4271) for one
 * IPv4 unicast prefix towards one internal peer. Owns the messages' form and the session's state. No
 * sockets, files, clock or threads: bytes and time are passed in. Calls no other package.
 */
package maplespread.announce;
