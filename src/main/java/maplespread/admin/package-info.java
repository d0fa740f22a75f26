/**
 * The operators' address: a listener, and the calls on it. Decides nothing: it asks and tells the server by
 * the functions it is given. May use {@code http}; nothing but the server uses it.
 */
package maplespread.admin;
