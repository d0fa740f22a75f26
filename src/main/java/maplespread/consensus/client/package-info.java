/**
 * The register for callers that wait, on the group's sockets. May call the agreement, the membership and the
 * log.
 */
package maplespread.consensus.client;
