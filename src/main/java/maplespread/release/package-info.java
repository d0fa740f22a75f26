/**
 * Who may be out, agreed over the fleet: releases in steps, leave to be out, halts and the way back. Owns the
 * state, the commands that change it and one instance's part in driving it. The state is one text in a
 * register that a majority keeps; a command is a function of the newest state, so that it does not matter who
 * proposes it, how often, or how late. No sockets, files, clock or threads: time is passed in. Calls
 * {@code faults} only.
 */
package maplespread.release;
