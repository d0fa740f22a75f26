/**
 * What the dispatchers of a group report of themselves, and how the parts of a dispatcher share the one value that the
 * fleet agrees on. Owns the form of a status, the newest status of each member, and the sections of the value. May
 * import {@code metrics} and {@code errors}; sends and receives through functions that it is given.
 */
package maplespread.cluster;
