/**
 * Which members of the fleet may be unavailable, as all instances agree on it: releases in steps, planned outages, halts
 * and rollbacks. Owns the agreed state ({@code RolloutState}), the commands that change it ({@code OperatorCommands},
 * {@code InstanceCommands}, {@code FaultCommands}) and one instance's part in a release ({@code RolloutController}).
 * The state is one text in a register that a majority keeps; a command is a function of the newest state, so that it
 * does not matter who proposes it, how often, or how late. No sockets, files, clock or threads: the time is passed in.
 * The operators' words in texts: leave is a planned outage, out is unavailable, called or taken back is a cancelled drain,
 * go on is resume. May import {@code errors} alone.
 */
package maplespread.release;
