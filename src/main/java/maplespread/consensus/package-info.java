/**
 * One value that the fleet agrees on, decided by a majority of electors, without a disk: a register by CASPaxos (Rystsov
 * 2018), made safe against electors that restart empty by crash vectors (Michael, Ports, Sharma, Szekeres, DISC 2017).
 *
 * <p>{@link maplespread.consensus.ConsensusNode} ties the parts together: {@code Acceptor} votes, {@code Proposer} has
 * changes decided, {@code Learner} keeps and spreads decisions, {@code Recovery} reads votes back after a restart, and
 * {@code ConfigurationChange} moves the electors. They share one {@code NodeState}.
 * {@link maplespread.consensus.MessageCodec} turns messages into bytes.
 *
 * <p>Owns the votes of this instance, its proposals and the last value it knows. No sockets, files, clock or threads:
 * time is passed in, and one thread at a time calls in. May import {@code errors} alone.
 */
package maplespread.consensus;
