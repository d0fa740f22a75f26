/**
 * Who owns the service address: election by lease and majority, with terms as fencing numbers. Owns the
 * votes of this instance and its lease. No sockets, files, clock or threads: time is passed in. Calls no
 * other package.
 */
package maplespread.address;
