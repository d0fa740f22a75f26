package maplespread.registry;

/**
 * Which history an answer belongs to, and how far it has come: etcd's {@code cluster_id}, {@code revision} and
 * {@code raft_term}. Consul names no cluster; there the index is the number.
 */
public record Revision(String clusterId, long number, long raftTerm) {
    /** Stands for an answer that does not tell its revision. */
    static final Revision UNKNOWN = new Revision("", 0, 0);

    /** Whether an answer of the later revision may follow one of this: the same registry, not gone back. */
    boolean mayPrecede(Revision later) {
        return clusterId.equals(later.clusterId) && later.number >= number && later.raftTerm >= raftTerm;
    }
}
