/**
 * Agreement of all instances on the members that may be unavailable: releases in steps, planned outages, halts and
 * rollbacks. Owns the agreed state ({@code RolloutState}), the commands that change it ({@code OperatorCommands},
 * {@code InstanceCommands}, {@code FaultCommands}) and one instance's part in a release ({@code RolloutController}).
 * The state is one text in the replicated value; a command is a function of the newest state, so that it does not
 * matter who proposes it, how often, or how late. Uses no sockets, files, clock or threads; callers pass the time. In
 * texts for operators, "leave" is a planned outage, "out" is unavailable, "called back" and "taken back" a cancelled
 * drain, and "go on" is resume. May import {@code errors} alone.
 */
package maplespread.release;
