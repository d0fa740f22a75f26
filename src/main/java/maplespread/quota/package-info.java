/**
 * What a request counts for under its tenant's share, as one of many dispatchers can tell without a word to
 * the others. Pure: no sockets, clock, threads or randomness. The decision module is told the result with
 * each request; it alone decides what is turned away.
 */
package maplespread.quota;
