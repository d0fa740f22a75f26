/**
 * Sources of the endpoint list: their interface, the client of the platform's discovery, the switch from one source
 * to another, and the filter for this dispatcher's subset. Owns one thread per watched discovery address; listeners
 * are notified on the threads of their sources. May import {@code facade}, the records of {@code policy},
 * {@code http}, {@code subset} and the log. The classes of a disabled source are not loaded.
 */
package maplespread.discovery;
