/**
 * Releases in virtual time, among faults, and exhaustively at a small size. Owns the model of members,
 * registry and register; what it counts as out is its own. Calls {@code release} only.
 */
package maplespread.lab.release;
