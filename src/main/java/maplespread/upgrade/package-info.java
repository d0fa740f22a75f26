/**
 * Two processes of one dispatcher, while one replaces the other. {@code Note} is what a process says of
 * itself, as text; {@code Presence} keeps the files. Knows nothing of clients, workers or decisions; used by
 * the server.
 */
package maplespread.upgrade;
