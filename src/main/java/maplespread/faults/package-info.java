/** The family of errors that the fleet's parts have in common. Calls no other package. */
package maplespread.faults;
