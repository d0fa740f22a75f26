/**
 * HTTP/1.1 over blocking sockets: an incremental parser, a writer and a connection with time limits. Ambiguous messages
 * are rejected. A parser or connection is used by one thread, except for the methods that close it. Imports no other
 * package of this program.
 */
package maplespread.http;
