/** The register for callers that wait, on the group's sockets. May call the agreement, the group and the log. */
package maplespread.agreement.client;
