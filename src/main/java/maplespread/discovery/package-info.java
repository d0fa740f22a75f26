/**
 * Where routes come from: the one interface of their sources, today's discovery, and the hand-over from one
 * source to another. May call the facade, http and the log. A source that is off is not loaded.
 */
package maplespread.discovery;
