package maplespread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import maplespread.membership.IndirectProbes.IndirectProbe;
import maplespread.membership.MemberUpdate.State;
import maplespread.membership.SwimMessage.Kind;
import maplespread.policy.ReproducibleMath;

/**
 * The failure detector of one member: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey
 * 2017). It probes one other member per period and asks helpers to probe a member that does not answer. A member that
 * no helper reaches either becomes suspect, and dead if it does not refute the suspicion in time. A member that may
 * itself be slow, or whose process was paused, uses longer timeouts for the others.
 *
 * <p>The caller passes the time in milliseconds of a monotonic clock and calls from one thread at a time.
 */
public final class SwimMembership {
    /** Delay of a tick, in probe periods, above which the process counts as paused. */
    private static final double PROCESS_PAUSE_PERIODS = 4;

    /** Mean number of rejoin rounds from one sync of the whole group with another member to the next. */
    private static final int MEAN_ROUNDS_PER_SYNC = 8;

    private final MembershipSettings settings;
    private final MembershipTransport transport;
    private final SplittableRandom random;
    private final GroupView group;
    private final GossipSender gossip;
    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final IndirectProbes indirectProbes;
    private final ProbeOrder probeOrder;
    private final LocalHealth localHealth;
    /** The probe in progress; null between probes. */
    private Probe probe;

    private long lastSequence;
    private long nextProbeAt;
    private long nextRejoinAt;
    private long nextTickAt;
    private boolean left;

    /**
     * Creates a member that knows only the seed addresses.
     *
     * @param processIncarnation start time of this process in Unix milliseconds, greater than that of any earlier process
     *     with this member name
     * @param seed the seed of the random source that orders probes and selects receivers
     * @param now the current time, in milliseconds
     * @param transport sends this member's messages and reports its events; invoked within calls to this member
     */
    public SwimMembership(
            MembershipSettings settings, long processIncarnation, long seed, long now, MembershipTransport transport) {
        this.settings = settings;
        this.transport = transport;
        random = new SplittableRandom(seed);
        indirectProbes = new IndirectProbes(settings.ackTimeoutMs());
        probeOrder = new ProbeOrder(random);
        localHealth = new LocalHealth(settings.maxLocalHealth());
        group = new GroupView(
                new MemberUpdate(settings.name(), settings.address(), State.ALIVE, processIncarnation, 0, ""));
        gossip = new GossipSender(settings, transport, group);
        nextTickAt = now;
        nextProbeAt =
                now + random.nextLong(settings.probePeriodMs()) + 1; // random offset: members do not probe in step
        nextRejoinAt = now;
        gossip.add(group.self());
    }

    /** This member's own state. */
    public MemberUpdate self() {
        return group.self();
    }

    /** All known other members in order of their names, departed ones included. */
    public Collection<MemberUpdate> members() {
        return group.others();
    }

    /** The other member with this name, departed or not; null if none is known. */
    public MemberUpdate member(String name) {
        return group.find(name);
    }

    /** The number of members that have not departed, this one included. */
    public int size() {
        return group.size();
    }

    /** Lifeguard's local health score; 0 is healthy, higher values lengthen this member's timeouts. */
    public int localHealth() {
        return localHealth.score();
    }

    // ------------------------------------------------------------ time

    /**
     * Runs the steps that are due.
     *
     * @return the latest time of the next call, in milliseconds
     */
    public long tick(long now) {
        if (left) {
            return Long.MAX_VALUE;
        }
        if (now - nextTickAt > PROCESS_PAUSE_PERIODS * settings.probePeriodMs()) {
            resumeAfterPause(now, now - nextTickAt);
        }
        if (probe != null) {
            advanceProbe(now);
        }
        if (probe == null && now >= nextProbeAt) {
            nextProbeAt = now + localHealth.scaled(settings.probePeriodMs());
            startProbe(now);
        }
        sendNacks(now);
        expireSuspicions(now);
        if (now >= nextRejoinAt) {
            rejoin(now);
        }
        group.forgetDeparted(now, settings.departedRetentionMs());
        nextTickAt = nextDeadline();
        return nextTickAt;
    }

    private void sendNacks(long now) {
        for (IndirectProbe unanswered : indirectProbes.removeUnanswered(now)) {
            gossip.send(unanswered.requesterAddress(), Kind.NACK, unanswered.requesterSequence());
        }
    }

    private void expireSuspicions(long now) {
        for (String name : List.copyOf(suspicions.keySet())) {
            if (now >= suspicionEndsAt(suspicions.get(name))) {
                apply(now, group.find(name).withState(State.DEAD, settings.name()));
            }
        }
    }

    private long nextDeadline() {
        long next = Math.min(nextRejoinAt, probe == null ? nextProbeAt : probe.nextStepAt());
        next = Math.min(next, indirectProbes.nextNackAt());
        for (Suspicion suspicion : suspicions.values()) {
            next = Math.min(next, suspicionEndsAt(suspicion));
        }
        return next;
    }

    /**
     * Restarts all timeouts after a process pause and sets the local health to its worst score. Replies that arrived
     * during the pause are still unread, so an expired timeout says nothing about the other members.
     */
    private void resumeAfterPause(long now, long pauseMs) {
        transport.event(true, "membership.process_pause", "ms", pauseMs);
        probe = null;
        indirectProbes.clear();
        localHealth.worsenToMax();
        suspicions.values().forEach(suspicion -> suspicion.restart(now));
        nextProbeAt = now + localHealth.scaled(settings.probePeriodMs());
    }

    private long suspicionEndsAt(Suspicion suspicion) {
        double groupFactor = Math.max(1, ReproducibleMath.log10(group.size()));
        double shortestMs = settings.suspicionMultiplier() * groupFactor * settings.probePeriodMs();
        return suspicion.endsAt(shortestMs, shortestMs * settings.maxSuspicionStretch());
    }

    // ------------------------------------------------------------ probes

    private void startProbe(long now) {
        Optional<String> next = probeOrder.next(group);
        if (next.isEmpty()) {
            return;
        }
        String target = next.get();
        long indirectAt = now + localHealth.scaled(settings.ackTimeoutMs());
        long endsAt = now + localHealth.scaled(settings.probePeriodMs());
        probe = new Probe(target, ++lastSequence, indirectAt, endsAt);
        ping(target, group.find(target).address(), probe.sequence());
    }

    private void ping(String target, String address, long sequence) {
        gossip.send(address, new SwimMessage(Kind.PING, sequence, target, "", List.of()), target);
    }

    private void advanceProbe(long now) {
        if (probe.acknowledged()) {
            localHealth.improve();
            probe = null;
        } else if (probe.needsHelpers(now)) {
            requestIndirectProbes();
        } else if (probe.hasFailed(now)) {
            localHealth.worsen(probe.healthPenalty());
            String target = probe.target();
            probe = null;
            if (group.isPresent(target)) {
                apply(now, group.find(target).withState(State.SUSPECT, settings.name()));
            }
        }
    }

    private void requestIndirectProbes() {
        probe.beginIndirectPhase();
        String target = probe.target();
        SwimMessage request = new SwimMessage(
                Kind.PING_REQ, probe.sequence(), target, group.find(target).address(), List.of());
        List<String> helpers = namesOf(group.select(
                member -> member.state() == State.ALIVE && !member.name().equals(target)));
        probeOrder.shuffle(helpers);
        for (String helper : helpers.subList(0, Math.min(settings.indirectProbes(), helpers.size()))) {
            probe.addHelper();
            gossip.send(group.find(helper).address(), request, target);
        }
    }

    /** Returns the names in a mutable list. */
    private static List<String> namesOf(List<MemberUpdate> members) {
        return new ArrayList<>(members.stream().map(MemberUpdate::name).toList());
    }

    // ------------------------------------------------------------ messages

    /** Processes a message whose sender is authenticated. */
    public void receive(long now, String sender, String senderAddress, SwimMessage message) {
        boolean sentBySelf = sender.equals(settings.name()) && senderAddress.equals(settings.address());
        if (left || sentBySelf) {
            return;
        }
        message.updates().forEach(update -> apply(now, update));
        switch (message.kind()) {
            case PING -> acknowledgePing(sender, senderAddress, message);
            case PING_REQ -> startIndirectProbe(now, senderAddress, message);
            case ACK -> handleAck(message.sequence());
            case NACK -> {
                if (matchesProbe(message.sequence())) {
                    probe.addNack();
                }
            }
            case JOIN -> gossip.sendGroup(senderAddress);
            case SYNC -> {} // its updates are applied above
        }
    }

    private void acknowledgePing(String sender, String senderAddress, SwimMessage ping) {
        if (ping.target().equals(settings.name())) { // a ping for another member gets no reply
            gossip.send(senderAddress, new SwimMessage(Kind.ACK, ping.sequence(), "", "", List.of()), sender);
        }
    }

    private void startIndirectProbe(long now, String requesterAddress, SwimMessage request) {
        long sequence = ++lastSequence;
        indirectProbes.add(sequence, requesterAddress, request.sequence(), now);
        ping(request.target(), request.targetAddress(), sequence);
    }

    private void handleAck(long sequence) {
        Optional<IndirectProbe> requested = indirectProbes.acknowledged(sequence);
        if (requested.isPresent()) {
            IndirectProbe pending = requested.get();
            gossip.send(pending.requesterAddress(), Kind.ACK, pending.requesterSequence());
        } else if (matchesProbe(sequence)) {
            probe.acknowledge();
        }
    }

    private boolean matchesProbe(long sequence) {
        return probe != null && probe.sequence() == sequence;
    }

    // ------------------------------------------------------------ updates

    /** Applies an update that is newer than the known state, and queues it for gossip. */
    private void apply(long now, MemberUpdate update) {
        if (update.name().equals(settings.name())) {
            applyToSelf(update);
            return;
        }
        MemberUpdate known = group.find(update.name());
        if (confirmsSuspicion(update, known)) {
            gossip.add(update);
        } else if (known != null && !update.overrides(known)) {
            gossipRefutation(update, known);
        } else if (known != null || !update.departed()) {
            warnIfNameConflicts(update, known);
            replace(now, update, known);
        }
    }

    private boolean confirmsSuspicion(MemberUpdate update, MemberUpdate known) {
        return update.state() == State.SUSPECT
                && suspicions.containsKey(update.name())
                && known.processIncarnation() == update.processIncarnation()
                && known.incarnation() == update.incarnation()
                && suspicions.get(update.name()).confirm(update.suspectedBy());
    }

    /** Queues the refutation of an outdated suspicion again, as the sender has not received it. */
    private void gossipRefutation(MemberUpdate outdated, MemberUpdate known) {
        if (outdated.state() != State.ALIVE && known.overrides(outdated) && known.state() == State.ALIVE) {
            gossip.add(known);
        }
    }

    private void warnIfNameConflicts(MemberUpdate update, MemberUpdate known) {
        if (known != null
                && known.processIncarnation() != update.processIncarnation()
                && !known.departed()
                && !known.address().equals(update.address())) {
            warnNameConflict(update, known.address());
        }
    }

    private void warnNameConflict(MemberUpdate update, String knownAddress) {
        transport.event(
                true,
                "membership.name_taken_twice",
                "member",
                update.name(),
                "address",
                knownAddress,
                "other",
                update.address());
    }

    private void replace(long now, MemberUpdate update, MemberUpdate known) {
        group.put(update, now);
        suspicions.remove(update.name());
        if (update.state() == State.SUSPECT) {
            suspicions.put(update.name(), new Suspicion(update.suspectedBy(), now));
        }
        gossip.add(update);
        if (known == null) {
            probeOrder.add(update.name());
        }
        transport.changed(known, update);
    }

    /** Handles a report that this member is suspect or dead, or that another process uses its name. */
    private void applyToSelf(MemberUpdate update) {
        MemberUpdate self = group.self();
        if (update.processIncarnation() > self.processIncarnation()) {
            warnNameConflict(update, self.address());
            return;
        }
        boolean sameProcess = update.processIncarnation() == self.processIncarnation();
        if (sameProcess && update.state() != State.ALIVE && update.incarnation() >= self.incarnation()) {
            refute(update);
        }
    }

    private void refute(MemberUpdate suspicion) {
        MemberUpdate self = group.self();
        long incarnation = suspicion.incarnation() + 1;
        MemberUpdate refutation =
                new MemberUpdate(self.name(), self.address(), State.ALIVE, self.processIncarnation(), incarnation, "");
        group.setSelf(refutation);
        localHealth.worsen(1);
        gossip.add(refutation);
        transport.event(false, "membership.refuted", "incarnation", incarnation, "by", suspicion.suspectedBy());
    }

    // ------------------------------------------------------------ joining and leaving

    /** Sends a join to a dead member and to an unknown seed: groups merge again after a network partition. */
    private void rejoin(long now) {
        nextRejoinAt =
                now + settings.rejoinIntervalMs() + random.nextLong(Math.max(1, settings.rejoinIntervalMs() / 2));
        sendJoinToRandom(addressesOf(group.select(member -> member.state() == State.DEAD)));
        List<String> unknownSeeds = new ArrayList<>(settings.seeds());
        unknownSeeds.remove(settings.address());
        addressesOf(group.present()).forEach(unknownSeeds::remove);
        if (!unknownSeeds.isEmpty()) {
            sendJoinToRandom(unknownSeeds);
        } else if (group.size() > 1) {
            syncOccasionally();
        }
    }

    private static List<String> addressesOf(List<MemberUpdate> members) {
        return members.stream().map(MemberUpdate::address).toList();
    }

    private void sendJoinToRandom(List<String> addresses) {
        if (!addresses.isEmpty()) {
            String address = addresses.get(random.nextInt(addresses.size()));
            gossip.send(address, Kind.JOIN, ++lastSequence);
        }
    }

    /** Sends the whole group to a random member in some rounds: repairs updates of which every copy was lost. */
    private void syncOccasionally() {
        Optional<String> receiver = probeOrder.next(group);
        if (receiver.isPresent() && random.nextInt(MEAN_ROUNDS_PER_SYNC) == 0) {
            gossip.sendGroup(group.find(receiver.get()).address());
        }
    }

    /** Notifies a few members, which gossip it on, that this one leaves. This member is inactive afterwards. */
    public void leave(long now) {
        if (left) {
            return;
        }
        group.setSelf(group.self().withState(State.LEFT, settings.name()));
        List<String> receivers = namesOf(group.present());
        probeOrder.shuffle(receivers);
        int count = Math.min(settings.indirectProbes() + 1, receivers.size());
        for (String receiver : receivers.subList(0, count)) {
            gossip.sendUpdates(group.find(receiver).address(), List.of(group.self()));
        }
        left = true;
    }
}
