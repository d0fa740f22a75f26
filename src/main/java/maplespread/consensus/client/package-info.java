/**
 * Blocking access to the replicated value: {@link maplespread.consensus.client.ReplicatedRegister} runs a node on the
 * group's sockets, with two threads of its own. May import {@code consensus}, {@code membership} and {@code log}.
 */
package maplespread.consensus.client;
