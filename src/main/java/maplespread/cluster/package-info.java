/**
 * What the dispatchers of a group tell each other of themselves, and how the parts share the one value that
 * the fleet agrees on. Owns the form of a status, the newest one of each member, and the value's sections.
 * May call {@code figures} and {@code faults}; sends and hears by functions that it is given.
 */
package maplespread.cluster;
