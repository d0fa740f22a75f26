/**
 * Diskless consensus on one replicated value, decided by a majority of electors: CASPaxos (Rystsov 2018), with crash
 * vectors (Michael, Ports, Sharma, Szekeres, DISC 2017) for safety when electors restart without state.
 *
 * <p>{@link maplespread.consensus.ConsensusNode} combines the parts: {@code Acceptor} votes, {@code Proposer} runs
 * changes to a decision, {@code Learner} maintains and distributes decisions, {@code Recovery} restores votes after a
 * restart, and {@code ConfigurationChange} replaces the electors. The parts share one {@code NodeState}.
 * {@link maplespread.consensus.MessageCodec} encodes and decodes messages.
 *
 * <p>Owns the votes and proposals of this instance and the latest value known to it. Uses no sockets, files, clock or
 * threads: callers supply the time and call from one thread at a time. May import {@code errors} only.
 */
package maplespread.consensus;
