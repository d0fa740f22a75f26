/**
 * One value that the fleet agrees on, decided by a majority of electors, with no lasting disk: a register by
 * CASPaxos (Rystsov 2018), made safe against electors that restart empty by crash vectors (Michael, Ports,
 * Sharma, Szekeres, DISC 2017). Owns the votes of this instance, its proposals, and the last value it knows.
 * No sockets, files, clock or threads: time is passed in, words come and go as records or bytes. Calls the
 * faults alone.
 */
package maplespread.consensus;
