/**
 * The register for callers that may block: {@link maplespread.consensus.client.ReplicatedRegister} runs a node on the
 * group's sockets, with two threads of its own. May import {@code consensus}, {@code membership} and {@code log}.
 */
package maplespread.consensus.client;
