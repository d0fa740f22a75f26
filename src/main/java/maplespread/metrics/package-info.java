/**
 * The figures that the operators are shown. Whoever is certain of an event adds it here, once; reading them
 * waits for nobody. Knows no socket and no decision; used by callers, workers, the console and the server.
 */
package maplespread.metrics;
