package maplespread.release;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import maplespread.release.RolloutState.Halt;
import maplespread.release.RolloutState.KnownMember;
import maplespread.release.RolloutState.LogEntry;
import maplespread.release.RolloutState.PlannedOutage;
import maplespread.release.RolloutState.Release;
import maplespread.release.RolloutState.UnplannedOutage;

/** A state on its way to the next one. */
final class RolloutStateBuilder {
    private static final int LOG = 12;
    private static final int ENDED = 64;

    Limits limits;
    Release release;
    final SortedMap<String, KnownMember> members;
    final SortedMap<String, PlannedOutage> plannedOutages;
    final SortedMap<String, UnplannedOutage> unplannedOutages;
    Halt halt;
    long stabilityVersion;
    long lastOutageNumber;
    long controlVersion;
    long heartbeats;
    final List<String> pastReleases;
    final List<LogEntry> log;

    RolloutStateBuilder(RolloutState s) {
        limits = s.limits();
        release = s.release();
        members = new TreeMap<>(s.members());
        plannedOutages = new TreeMap<>(s.plannedOutages());
        unplannedOutages = new TreeMap<>(s.unplannedOutages());
        halt = s.halt();
        stabilityVersion = s.stabilityVersion();
        lastOutageNumber = s.lastOutageNumber();
        controlVersion = s.controlVersion();
        heartbeats = s.heartbeats();
        pastReleases = new ArrayList<>(s.pastReleases());
        log = new ArrayList<>(s.log());
    }

    RolloutState build() {
        return new RolloutState(
                limits,
                release,
                members,
                plannedOutages,
                unplannedOutages,
                halt,
                stabilityVersion,
                lastOutageNumber,
                controlVersion,
                heartbeats,
                pastReleases.subList(Math.max(0, pastReleases.size() - ENDED), pastReleases.size()),
                log.subList(Math.max(0, log.size() - LOG), log.size()));
    }

    RolloutStateBuilder log(String by, String what, String why) {
        log.add(new LogEntry(by, what, why));
        return this;
    }

    /** Whatever waits for quiet waits anew, and the next leave needs a whole quiet time. */
    RolloutStateBuilder restartQuietPeriod() {
        stabilityVersion++;
        release = release == null ? null : release.with(-1);
        return this;
    }

    /** An operator's act, or a halt: what was called before it is late from here on. */
    RolloutStateBuilder setHalt(Halt next) {
        controlVersion++;
        halt = next;
        return restartQuietPeriod();
    }

    void grantOutage(String member, long run, String ofRelease, String why) {
        plannedOutages.put(member, new PlannedOutage(++lastOutageNumber, run, ofRelease, why));
    }
}
