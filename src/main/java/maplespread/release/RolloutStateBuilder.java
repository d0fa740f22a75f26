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

/** A mutable copy of a {@link RolloutState}, from which a command builds the next state. Not thread-safe. */
final class RolloutStateBuilder {
    private static final int MAX_LOG_ENTRIES = 12;
    private static final int MAX_PAST_RELEASES = 64;

    Limits limits;
    Release release;
    final SortedMap<String, KnownMember> members;
    final SortedMap<String, PlannedOutage> plannedOutages;
    final SortedMap<String, UnplannedOutage> unplannedOutages;
    long stabilityVersion;
    long heartbeats;
    final List<String> pastReleases;
    private Halt halt;
    private long lastOutageNumber;
    private long controlVersion;
    private final List<LogEntry> log;

    RolloutStateBuilder(RolloutState from) {
        limits = from.limits();
        release = from.release();
        members = new TreeMap<>(from.members());
        plannedOutages = new TreeMap<>(from.plannedOutages());
        unplannedOutages = new TreeMap<>(from.unplannedOutages());
        stabilityVersion = from.stabilityVersion();
        heartbeats = from.heartbeats();
        pastReleases = new ArrayList<>(from.pastReleases());
        halt = from.halt();
        lastOutageNumber = from.lastOutageNumber();
        controlVersion = from.controlVersion();
        log = new ArrayList<>(from.log());
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
                newest(pastReleases, MAX_PAST_RELEASES),
                newest(log, MAX_LOG_ENTRIES));
    }

    private static <T> List<T> newest(List<T> all, int count) {
        return all.subList(Math.max(0, all.size() - count), all.size());
    }

    RolloutStateBuilder log(String by, String what, String why) {
        log.add(new LogEntry(by, what, why));
        return this;
    }

    /** Restarts the quiet period before the next step, and makes earlier observations of instances outdated. */
    RolloutStateBuilder restartQuietPeriod() {
        stabilityVersion++;
        release = release == null ? null : release.withOpenStep(RolloutState.NO_STEP);
        return this;
    }

    /** Sets the halt, or lifts it where {@code next} is null; calls with an older control version become outdated. */
    RolloutStateBuilder setHalt(Halt next) {
        controlVersion++;
        halt = next;
        return restartQuietPeriod();
    }

    void grantOutage(String member, long incarnation, String releaseId, String why) {
        lastOutageNumber++;
        plannedOutages.put(member, new PlannedOutage(lastOutageNumber, incarnation, releaseId, why));
    }
}
