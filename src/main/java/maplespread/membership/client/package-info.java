/**
 * The UDP socket of a member: {@link maplespread.membership.client.ClusterTransport} carries the membership's messages
 * and the channels of other parts, on two threads of its own. May import {@code membership} and {@code log}.
 */
package maplespread.membership.client;
