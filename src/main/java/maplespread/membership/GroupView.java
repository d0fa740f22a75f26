package maplespread.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The group as one member knows it: itself, and the newest update of every other member, departed ones for a while. */
final class GroupView {
    private final Map<String, MemberUpdate> others = new TreeMap<>();
    private final Map<String, Long> departedAt = new HashMap<>();
    private MemberUpdate self;

    GroupView(MemberUpdate self) {
        this.self = self;
    }

    MemberUpdate self() {
        return self;
    }

    void setSelf(MemberUpdate next) {
        self = next;
    }

    /** All other members by name, departed ones included. */
    Collection<MemberUpdate> others() {
        return Collections.unmodifiableCollection(others.values());
    }

    /** The other member of this name, departed or not; null: none is known. */
    MemberUpdate find(String name) {
        return others.get(name);
    }

    /** Whether the other member of this name is known and has not departed. */
    boolean isPresent(String name) {
        MemberUpdate member = others.get(name);
        return member != null && !member.departed();
    }

    /** Other members that have not departed. */
    List<MemberUpdate> present() {
        return select(member -> !member.departed());
    }

    /** Other members to which this applies, by name. */
    List<MemberUpdate> select(Predicate<MemberUpdate> condition) {
        return others.values().stream().filter(condition).toList();
    }

    /** The number of members that have not departed, this one included. */
    int size() {
        return 1
                + (int) others.values().stream()
                        .filter(member -> !member.departed())
                        .count();
    }

    /** Replaces what is known of a member. */
    void put(MemberUpdate update, long now) {
        others.put(update.name(), update);
        departedAt.remove(update.name());
        if (update.departed()) {
            departedAt.put(update.name(), now);
        }
    }

    /** Forgets the members that departed longer ago than this. */
    void forgetDeparted(long now, long retentionMs) {
        departedAt.entrySet().removeIf(entry -> {
            boolean expired = now - entry.getValue() > retentionMs;
            if (expired) {
                others.remove(entry.getKey());
            }
            return expired;
        });
    }
}
