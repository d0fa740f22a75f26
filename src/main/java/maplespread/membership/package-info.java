/**
 * Which other dispatchers are there: SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard
 * (Dadgar, Phillips, Currey 2017), the form of its messages, and who may send them. Owns the group's view.
 * No sockets, files, clock or threads: time is passed in, messages come and go as records or bytes. Calls
 * no other package.
 */
package maplespread.membership;
