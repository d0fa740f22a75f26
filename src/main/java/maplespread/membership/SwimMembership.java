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

/**
 * One member's part in the failure detection of the group: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar,
 * Phillips, Currey 2017). Probes one other member each period, asks helpers where that one does not answer, suspects it,
 * which it may refute, and declares it dead when nobody has refuted that for long enough. A member that may itself be
 * slow, or was paused, judges others more slowly.
 *
 * <p>Its owner passes the time in, in milliseconds of a clock that never goes back, and calls it from one thread at a
 * time.
 */
public final class SwimMembership {
    /** A tick that comes later than this many probe periods after it was due means that the process was paused. */
    private static final double PAUSE_PERIODS = 4;

    /** One of this many rejoin rounds compares the whole group with another member. */
    private static final int ROUNDS_PER_SYNC = 8;

    private final MembershipSettings settings;
    private final MembershipTransport transport;
    private final SplittableRandom random;
    private final GroupView group;
    private final GossipSender gossip;
    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final IndirectProbes indirectProbes;
    private final ProbeOrder probeOrder;
    private final LocalHealth localHealth;
    private Probe probe;
    private long lastSequence;
    private long nextProbeAt;
    private long nextRejoinAt;
    private long nextTickAt;
    private boolean left;

    /**
     * A member that knows nobody yet but the seeds.
     *
     * @param processIncarnation Unix milliseconds of this process' start, above that of every earlier one under this name
     * @param seed of the random source that orders probes and picks receivers
     * @param now the time in milliseconds
     * @param transport takes what the member sends and reports, during calls of it
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
        nextProbeAt = now + random.nextLong(settings.probePeriodMs()) + 1; // so that members do not probe in step
        nextRejoinAt = now;
        gossip.add(group.self());
    }

    /** This member as it describes itself. */
    public MemberUpdate self() {
        return group.self();
    }

    /** All other members that are known, those that have departed included, by name. */
    public Collection<MemberUpdate> members() {
        return group.others();
    }

    /** The other member of this name, departed or not; null: none is known. */
    public MemberUpdate member(String name) {
        return group.find(name);
    }

    /** The number of members that have not departed, this one included. */
    public int size() {
        return group.size();
    }

    /** How much this member doubts its own timeliness; 0: not at all. */
    public int localHealth() {
        return localHealth.score();
    }

    // ------------------------------------------------------------ time

    /** Does what is due; returns when to be called again at the latest, in milliseconds. */
    public long tick(long now) {
        if (left) {
            return Long.MAX_VALUE;
        }
        if (now - nextTickAt > PAUSE_PERIODS * settings.probePeriodMs()) {
            resumeAfterPause(now, now - nextTickAt);
        }
        if (probe != null) {
            advanceProbe(now);
        }
        if (probe == null && now >= nextProbeAt) {
            nextProbeAt = now + localHealth.scaled(settings.probePeriodMs());
            startProbe(now);
        }
        reportUnanswered(now);
        declareDead(now);
        if (now >= nextRejoinAt) {
            rejoin(now);
        }
        group.forgetDeparted(now, settings.departedRetentionMs());
        nextTickAt = nextDueAt();
        return nextTickAt;
    }

    private void reportUnanswered(long now) {
        for (IndirectProbe unanswered : indirectProbes.removeUnanswered(now)) {
            gossip.send(unanswered.requesterAddress(), Kind.NACK, unanswered.requesterSequence());
        }
    }

    private void declareDead(long now) {
        for (String name : List.copyOf(suspicions.keySet())) {
            if (now >= endsAt(suspicions.get(name))) {
                apply(now, group.find(name).withState(State.DEAD, settings.name()));
            }
        }
    }

    private long nextDueAt() {
        long next = Math.min(nextRejoinAt, probe == null ? nextProbeAt : probe.nextStepAt());
        next = Math.min(next, indirectProbes.nextNackAt());
        for (Suspicion suspicion : suspicions.values()) {
            next = Math.min(next, endsAt(suspicion));
        }
        return next;
    }

    /**
     * This process did not run for a while. Answers that came meanwhile lie unread, so what it was waiting for proves
     * nothing about the others: it begins its waits anew and doubts itself.
     */
    private void resumeAfterPause(long now, long pauseMs) {
        transport.event(true, "membership.process_pause", "ms", pauseMs);
        probe = null;
        indirectProbes.clear();
        localHealth.worsenToMax();
        suspicions.values().forEach(suspicion -> suspicion.restart(now));
        nextProbeAt = now + localHealth.scaled(settings.probePeriodMs());
    }

    private long endsAt(Suspicion suspicion) {
        double groupFactor = Math.max(1, Math.log10(group.size()));
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
            askHelpers();
        } else if (probe.hasFailed(now)) {
            localHealth.worsen(probe.doubtAfterFailure());
            String target = probe.target();
            probe = null;
            if (group.isPresent(target)) {
                apply(now, group.find(target).withState(State.SUSPECT, settings.name()));
            }
        }
    }

    private void askHelpers() {
        probe.startIndirect();
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

    /** A list that may be modified. */
    private static List<String> namesOf(List<MemberUpdate> members) {
        return new ArrayList<>(members.stream().map(MemberUpdate::name).toList());
    }

    // ------------------------------------------------------------ messages

    /** Takes a message of {@code sender}, which is known to have sent it. */
    public void receive(long now, String sender, String senderAddress, SwimMessage message) {
        boolean own = sender.equals(settings.name()) && senderAddress.equals(settings.address());
        if (left || own) {
            return;
        }
        message.updates().forEach(update -> apply(now, update));
        switch (message.kind()) {
            case PING -> answerPing(sender, senderAddress, message);
            case PING_REQ -> probeForAnother(now, senderAddress, message);
            case ACK -> acknowledged(message.sequence());
            case NACK -> {
                if (isOfProbe(message.sequence())) {
                    probe.answerNegatively();
                }
            }
            case JOIN -> gossip.sendGroup(senderAddress);
            case SYNC -> {} // its updates are all it brings
        }
    }

    private void answerPing(String sender, String senderAddress, SwimMessage ping) {
        if (ping.target().equals(settings.name())) { // else it is meant for another member
            gossip.send(senderAddress, new SwimMessage(Kind.ACK, ping.sequence(), "", "", List.of()), sender);
        }
    }

    private void probeForAnother(long now, String requesterAddress, SwimMessage request) {
        long sequence = ++lastSequence;
        indirectProbes.add(sequence, requesterAddress, request.sequence(), now);
        ping(request.target(), request.targetAddress(), sequence);
    }

    private void acknowledged(long sequence) {
        Optional<IndirectProbe> requested = indirectProbes.acknowledged(sequence);
        if (requested.isPresent()) {
            IndirectProbe pending = requested.get();
            gossip.send(pending.requesterAddress(), Kind.ACK, pending.requesterSequence());
        } else if (isOfProbe(sequence)) {
            probe.acknowledge();
        }
    }

    private boolean isOfProbe(long sequence) {
        return probe != null && probe.sequence() == sequence;
    }

    // ------------------------------------------------------------ updates

    /** Takes one member's state in, if it is new here, and passes it on. */
    private void apply(long now, MemberUpdate update) {
        if (update.name().equals(settings.name())) {
            applyToSelf(update);
            return;
        }
        MemberUpdate known = group.find(update.name());
        if (confirmsSuspicion(update, known)) {
            gossip.add(update);
        } else if (known != null && !update.overrides(known)) {
            passOnRefutation(update, known);
        } else if (known != null || !update.departed()) {
            warnIfNameTakenTwice(update, known);
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

    /** The sender of an outdated suspicion has not received the refutation. */
    private void passOnRefutation(MemberUpdate outdated, MemberUpdate known) {
        if (outdated.state() != State.ALIVE && known.overrides(outdated) && known.state() == State.ALIVE) {
            gossip.add(known);
        }
    }

    private void warnIfNameTakenTwice(MemberUpdate update, MemberUpdate known) {
        if (known != null
                && known.processIncarnation() != update.processIncarnation()
                && !known.departed()
                && !known.address().equals(update.address())) {
            warnNameTakenTwice(update, known.address());
        }
    }

    private void warnNameTakenTwice(MemberUpdate update, String knownAddress) {
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

    /** Others report that this member is suspect or dead, or that another process has its name. */
    private void applyToSelf(MemberUpdate update) {
        MemberUpdate self = group.self();
        if (update.processIncarnation() > self.processIncarnation()) {
            warnNameTakenTwice(update, self.address());
            return;
        }
        boolean aboutThisProcess = update.processIncarnation() == self.processIncarnation();
        if (aboutThisProcess && update.state() != State.ALIVE && update.incarnation() >= self.incarnation()) {
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

    /** Asks a seed, and one of the dead: so that groups which were split join again. */
    private void rejoin(long now) {
        nextRejoinAt =
                now + settings.rejoinIntervalMs() + random.nextLong(Math.max(1, settings.rejoinIntervalMs() / 2));
        joinOneOf(addressesOf(group.select(member -> member.state() == State.DEAD)));
        List<String> unknownSeeds = new ArrayList<>(settings.seeds());
        unknownSeeds.remove(settings.address());
        addressesOf(group.present()).forEach(unknownSeeds::remove);
        if (!unknownSeeds.isEmpty()) {
            joinOneOf(unknownSeeds);
        } else if (group.size() > 1) {
            syncNowAndThen();
        }
    }

    private static List<String> addressesOf(List<MemberUpdate> members) {
        return members.stream().map(MemberUpdate::address).toList();
    }

    private void joinOneOf(List<String> addresses) {
        if (!addresses.isEmpty()) {
            String address = addresses.get(random.nextInt(addresses.size()));
            gossip.send(address, Kind.JOIN, ++lastSequence);
        }
    }

    /** Repairs updates of which every copy was lost. */
    private void syncNowAndThen() {
        Optional<String> receiver = probeOrder.next(group);
        if (receiver.isPresent() && random.nextInt(ROUNDS_PER_SYNC) == 0) {
            gossip.sendGroup(group.find(receiver.get()).address());
        }
    }

    /** Tells a few members that this one leaves, who pass it on; nothing is done after it. */
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
