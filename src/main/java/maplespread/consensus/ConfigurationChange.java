package maplespread.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The electors of a state and of the one that follows it. They change by one name at a time; while a change is not known
 * to be decided, the previous list stays in force beside the new one.
 *
 * @param previousElectors the list that the new one takes the place of; empty when no change is under way
 * @param electors the list in force, or the new one
 * @param electorsVersion grows by one with each change
 */
record ConfigurationChange(List<String> previousElectors, List<String> electors, long electorsVersion) {
    /**
     * The electors after a state. The previous list ends only over a state that is known to be decided, as a majority
     * of it then has accepted the new one: whoever asks the previous electors alone would else never hear of those
     * after them. The next step begins only after that.
     *
     * @param target the electors to move to, if any
     */
    static ConfigurationChange after(RegisterState base, boolean baseIsDecided, Optional<List<String>> target) {
        VersionedValue value = base.value();
        boolean stepAllowed = base.previousElectors().isEmpty();
        if (stepAllowed && target.isPresent() && !ElectorLists.sameElectors(value.electors(), target.get())) {
            return new ConfigurationChange(
                    value.electors(), step(value.electors(), target.get()), value.electorsVersion() + 1);
        }
        List<String> previous = baseIsDecided ? List.of() : base.previousElectors();
        return new ConfigurationChange(previous, value.electors(), value.electorsVersion());
    }

    /** One elector more, or, where there is none to add, one less. */
    static List<String> step(List<String> from, List<String> to) {
        List<String> next = new ArrayList<>(from);
        for (String name : to) {
            if (!from.contains(name)) {
                next.add(name);
                return next;
            }
        }
        next.remove(from.stream().filter(name -> !to.contains(name)).findFirst().orElseThrow());
        return next;
    }

    /** Whether the state's electors stay as they are. */
    boolean keeps(RegisterState base) {
        return previousElectors.equals(base.previousElectors())
                && electors.equals(base.value().electors());
    }
}
