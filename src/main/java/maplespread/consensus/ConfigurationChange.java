package maplespread.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The elector configuration of the next state. It changes by one elector at a time. Until a change is known target be
 * decided, the previous list stays in force beside the new one (joint consensus).
 *
 * @param previousElectors the list that is being replaced; empty if no change is in progress
 * @param electors the current list, or the new one during a change
 * @param electorsVersion incremented with each change
 */
record ConfigurationChange(List<String> previousElectors, List<String> electors, long electorsVersion) {
    /**
     * The configuration that follows a state. The previous list is dropped only if the state is known to be decided,
     * because a majority of the previous electors has then accepted the new list. Otherwise, a proposer that contacts
     * only the previous electors would never learn of the new ones. The next step starts after the list was dropped.
     *
     * @param target the electors to move to; empty if no change is requested
     */
    static ConfigurationChange after(RegisterState base, boolean baseIsDecided, Optional<List<String>> target) {
        VersionedValue value = base.value();
        boolean noChangeInProgress = base.previousElectors().isEmpty();
        if (noChangeInProgress && target.isPresent() && !ElectorLists.sameElectors(value.electors(), target.get())) {
            return new ConfigurationChange(
                    value.electors(), step(value.electors(), target.get()), value.electorsVersion() + 1);
        }
        List<String> previous = baseIsDecided ? List.of() : base.previousElectors();
        return new ConfigurationChange(previous, value.electors(), value.electorsVersion());
    }

    /** Adds one missing elector of the target list, or removes one surplus elector if none is missing. */
    static List<String> step(List<String> current, List<String> target) {
        List<String> next = new ArrayList<>(current);
        for (String name : target) {
            if (!current.contains(name)) {
                next.add(name);
                return next;
            }
        }
        next.remove(current.stream()
                .filter(name -> !target.contains(name))
                .findFirst()
                .orElseThrow());
        return next;
    }

    /** Whether this configuration equals that of the given state. */
    boolean keeps(RegisterState base) {
        return previousElectors.equals(base.previousElectors())
                && electors.equals(base.value().electors());
    }
}
