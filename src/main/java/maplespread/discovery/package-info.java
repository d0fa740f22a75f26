/**
 * Where endpoints are learned from: the interface of their sources, the platform's discovery, the hand-over from
 * one source to another, and the cut to this dispatcher's subset. Owns a thread for each address of discovery;
 * listeners are notified on the threads of their sources. May import {@code facade}, {@code policy}'s records,
 * {@code http}, {@code subset} and the log. A source that is off is not loaded.
 */
package maplespread.discovery;
