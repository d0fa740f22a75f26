/** The errors of the fleet's parts, one family. Owns their common form. Calls no other package. */
package maplespread.faults;
