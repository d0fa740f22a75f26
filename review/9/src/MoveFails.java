package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A new configuration with SIGHUP moves discovery. Calls to the new address fail in the first second, later ones
 * would be answered. Until the old address closes, 1.5 s later, it tells changes of the list, as in a release.
 */
final class MoveFails {
    private static final int DISPATCHERS = 3;
    private static final long FAILS_MS = 1000;
    private static final long CHANGE_EVERY_MS = 300;
    private static final long OLD_CLOSES_MS = 1500;
    private static final long WATCHED_MS = 40_000;
    private static final long ALL_REJECTED_MS = 4000;
    private static final int LEAST_REJECTED = 15;
    private static final int WORK_MS = 200;

    private MoveFails() {}

    public static void main(String[] args) {
        Rig.main(args, MoveFails::run);
    }

    private static int run(Rig rig) throws Exception {
        Discovery old = new Discovery(rig, "discovery-1", 2000);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            workers.add(new Worker(rig, "s-" + (char) ('a' + i)));
            old.put(workers.get(i), "SERVING");
        }
        List<Worker> successors = new ArrayList<>();
        Discovery next = new Discovery(rig, "discovery-2", 2000);
        next.copyFrom(old);
        List<Rig.Dispatcher> dispatchers = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            Rig.Dispatcher dispatcher = rig.dispatcher("n" + i);
            dispatcher.configure(Rig.config(dispatcher.name, dispatcher.port, old.port, DISPATCHERS, i));
            dispatcher.start(null);
            dispatchers.add(dispatcher);
        }
        Clients clients = new Clients(rig);
        for (Rig.Dispatcher dispatcher : dispatchers) {
            if (!dispatcher.awaitReady(30_000)) {
                rig.say("a dispatcher was not ready in 30 s");
                return Rig.COULD_NOT_RUN;
            }
            for (int i = 0; i < 3; i++) {
                clients.start(dispatcher.port, WORK_MS, 4000, 50, "catalogue-page", "checkout", "stock-sync");
            }
        }
        Rig.sleep(4000);
        if (rig.trouble) {
            next.mode(Discovery.Mode.FAILS);
        }
        long movedMs = rig.ms();
        for (int i = 0; i < DISPATCHERS; i++) {
            Rig.Dispatcher dispatcher = dispatchers.get(i);
            dispatcher.configure(Rig.config(dispatcher.name, dispatcher.port, next.port, DISPATCHERS, i));
            dispatcher.signal("HUP");
        }
        old.stopAccepting();
        // A release goes on: every 300 ms one worker begins to drain or its successor starts, told by both addresses.
        Rig.sleep(150);
        for (int i = 0; rig.ms() < movedMs + OLD_CLOSES_MS; i++) {
            if (i % 2 == 0) {
                old.put(workers.get(i / 2), "DRAINING");
                next.put(workers.get(i / 2), "DRAINING");
            } else {
                Worker successor = new Worker(rig, "s-new-" + i);
                successors.add(successor);
                long startedAtMs = System.currentTimeMillis();
                old.put(successor, "SERVING", startedAtMs);
                next.put(successor, "SERVING", startedAtMs);
            }
            long changedMs = rig.ms();
            while (rig.ms() < Math.min(changedMs + CHANGE_EVERY_MS, movedMs + OLD_CLOSES_MS)) {
                Rig.sleep(10);
                if (rig.trouble && next.failing() && rig.ms() > movedMs + FAILS_MS) {
                    next.mode(Discovery.Mode.UP);
                }
            }
        }
        old.closeOpen();
        long upMs = rig.ms();
        Rig.sleep(WATCHED_MS);
        clients.end();
        int rejectingAll = 0;
        for (Rig.Dispatcher dispatcher : dispatchers) {
            List<Clients.Call> after = clients.calls().stream()
                    .filter(call -> call.port() == dispatcher.port && call.sentMs() > upMs + 5000).toList();
            long rejected = after.stream().filter(call -> call.status() == 503).count();
            long served = after.stream().filter(call -> call.status() == 200).count();
            Set<String> ids = after.stream().map(Clients.Call::id).collect(Collectors.toSet());
            long attempts = Stream.concat(workers.stream(), successors.stream())
                    .flatMap(worker -> worker.arrivals().stream()).filter(arrival -> ids.contains(arrival.id())).count();
            long lastServedMs = clients.calls().stream()
                    .filter(call -> call.port() == dispatcher.port && call.status() == 200)
                    .mapToLong(Clients.Call::endedMs).max().orElse(0);
            rig.say(dispatcher.name + ": from 5 s after the new address answers on, " + after.size() + " requests, " + served
                    + " served, " + rejected + " rejected, " + attempts
                    + " attempts at workers; last one served at " + lastServedMs + " of " + rig.ms());
            if (attempts == 0 && rejected == after.size() && rejected >= LEAST_REJECTED
                    && WATCHED_MS - 5000 > ALL_REJECTED_MS) {
                rejectingAll++;
            }
            if (after.size() < LEAST_REJECTED) {
                return Rig.COULD_NOT_RUN;
            }
        }
        rig.say("moved at " + movedMs + ", new address answers from " + upMs + " at the latest; its last call came at "
                + next.lastCallMs + "; " + rejectingAll + " of " + DISPATCHERS + " dispatchers reject all");
        return rejectingAll * 10 > DISPATCHERS ? Rig.BROKEN : Rig.HELD;
    }
}
