package maplespread.feature;

import maplespread.cluster.MemberStatusTable;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.membership.client.ClusterTransport;

/** What a dispatcher has once it is in the group: its connection to the others, the agreed value, their statuses. */
record JoinedGroup(ClusterTransport transport, ReplicatedRegister register, MemberStatusTable statuses) {}
