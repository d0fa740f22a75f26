/**
 * The family of errors that the fleet's parts tell operators. Owns its one base: what is wrong, what still
 * works, what can be done. Pure; calls no other package.
 */
package maplespread.faults;
