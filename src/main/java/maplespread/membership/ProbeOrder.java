package maplespread.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * The order in which members are probed: each once a round, shuffled anew for each round, so that a failure is detected
 * within two rounds at worst.
 */
final class ProbeOrder {
    private final SplittableRandom random;
    private final List<String> round = new ArrayList<>();

    ProbeOrder(SplittableRandom random) {
        this.random = random;
    }

    /** The next member that has not departed; empty: there is none. */
    Optional<String> next(GroupView group) {
        while (true) {
            if (round.isEmpty()) {
                group.present().forEach(member -> round.add(member.name()));
                if (round.isEmpty()) {
                    return Optional.empty();
                }
                shuffle(round);
            }
            String name = round.remove(round.size() - 1);
            if (group.isPresent(name)) {
                return Optional.of(name);
            }
        }
    }

    /** A new member is probed in this round, at a random place. */
    void add(String name) {
        round.add(round.isEmpty() ? 0 : random.nextInt(round.size() + 1), name);
    }

    void shuffle(List<String> names) {
        for (int i = names.size() - 1; i > 0; i--) {
            Collections.swap(names, i, random.nextInt(i + 1));
        }
    }
}
