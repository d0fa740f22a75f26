/**
 * HTTP/1.1 over blocking sockets: a parser that takes messages in as they arrive, a writer, a connection with time limits.
 * What is ambiguous is refused. A parser or connection belongs to one thread, but for the calls that end it. Imports nothing
 * of this program.
 */
package maplespread.http;
