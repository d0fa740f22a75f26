/**
 * Decides how a key-value registry is followed: which call to make next and to which server, from which revision
 * to resume after a break, when to rebuild, and which workers there are. Owns the view of the registry. Does no
 * input or output and has no clock or threads: times are passed in, answers come as method calls, and the caller
 * guards a watcher with its view by one lock. May import {@code maplespread.facade}'s records of endpoints alone.
 */
package maplespread.registry;
