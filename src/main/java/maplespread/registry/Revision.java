package maplespread.registry;

/**
 * Which history an answer speaks of, and how far it has come: etcd's cluster_id, header.revision and
 * raft_term. Consul names no cluster; there the index is the revision.
 */
public record Revision(String clusterId, long number, long raftTerm) {
    /** Whether an answer of {@code later} may follow one of this: the same registry, not gone back. */
    boolean mayPrecede(Revision later) {
        return clusterId.equals(later.clusterId) && later.number >= number && later.raftTerm >= raftTerm;
    }
}
