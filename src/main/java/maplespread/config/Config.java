package maplespread.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import maplespread.discovery.WatchTimeouts;
import maplespread.facade.EndpointUpdate;
import maplespread.policy.PolicySettings;
import maplespread.policy.RequestClass;

/**
 * The configuration of one dispatcher, read and checked by {@link ConfigReader}. {@code console}: the admin
 * address, or null; {@code keys}: those that the file has; {@code tmp}: the directory that processes
 * of one dispatcher share, or null.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress console,
        Path tmp,
        InetSocketAddress discovery,
        long seed,
        PolicySettings settings,
        Names names,
        Limits limits,
        Times times,
        EndpointUpdate cachedEndpoints,
        Set<String> keys) {
    /** The operators' connections at once; their descriptors are not the clients'. */
    public static final int MAX_ADMIN_CONNECTIONS = 12;

    /**
     * This one, read while {@code running} holds, as it can be taken up without a restart: classes keep their
     * places, and what needs a restart stays. A ConfigException where it lacks a key that the running one has.
     */
    public Config mergedInto(Config running) throws ConfigException {
        for (String key : running.keys) {
            if (!keys.contains(key)) {
                throw new ConfigException(key, "is missing; the running configuration has it");
            }
        }
        List<String> places = new ArrayList<>(running.names.classes);
        names.classes.stream().filter(c -> !places.contains(c)).forEach(places::add);
        List<RequestClass> specs = new ArrayList<>();
        Set<String> out = new LinkedHashSet<>();
        for (String cls : places) {
            int at = names.classes.indexOf(cls);
            if (at < 0) {
                out.add(cls); // its place is kept by a live one's figures
            }
            specs.add(settings.classes().get(Math.max(0, at)));
        }
        return new Config(
                running.name,
                running.listen,
                running.console,
                running.tmp,
                discovery,
                running.seed,
                settings.withClasses(specs),
                new Names(
                        List.copyOf(places), names.tenants, running.names.zones, running.names.kinds, Set.copyOf(out)),
                running.limits,
                times,
                running.cachedEndpoints,
                keys);
    }

    /** The keys in which another configuration differs that a running program cannot take up. */
    public List<String> needingRestart(Config other) {
        List<String> keys = new ArrayList<>();
        differ(keys, "name", name, other.name);
        differ(keys, "listen", listen, other.listen);
        differ(keys, "console", console, other.console);
        differ(keys, "limits", limits, other.limits);
        differ(keys, "settings.areas", names.zones, other.names.zones);
        differ(keys, "settings.models", names.kinds, other.names.kinds);
        return keys;
    }

    private static void differ(List<String> keys, String key, Object here, Object there) {
        if (!Objects.equals(here, there)) {
            keys.add(key);
        }
    }

    /**
     * What the sockets call classes, tenants, zones and machine kinds, in the settings' order. {@code
     * dropped}: classes that a reload has taken out, and whose places stay theirs.
     */
    public record Names(
            List<String> classes, List<String> tenants, List<String> zones, List<String> kinds, Set<String> dropped) {
        /** The class's number; -1 where there is none of that name at present. */
        public int place(String cls) {
            return dropped.contains(cls) ? -1 : classes.indexOf(cls);
        }

        /** The classes there are at present. */
        public List<String> live() {
            return classes.stream().filter(c -> !dropped.contains(c)).toList();
        }
    }

    /**
     * How much is held at once. {@code servedClientConnections}: beyond so many useful client connections the longest idle
     * ends; {@code workerConnections}: in use or idle; {@code idleWorkerConnections}: of these, how many may be idle whatever
     * is in use.
     */
    public record Limits(
            int requestsInFlight,
            int clientConnections,
            int servedClientConnections,
            int workerConnections,
            int idleWorkerConnections,
            int probes) {
        /**
         * For each of two processes that are one dispatcher: two fifths, as each has descriptors and memory
         * of its own beside these.
         */
        public Limits shared() {
            return new Limits(
                    part(requestsInFlight),
                    part(clientConnections),
                    part(servedClientConnections),
                    part(workerConnections),
                    part(idleWorkerConnections),
                    part(probes));
        }

        private static int part(int n) {
            return Math.max(1, n * 2 / 5);
        }
    }

    /**
     * Time limits in milliseconds that are not the policy's. {@code dialMs}: for a connection to a worker; {@code
     * firstByteMs}: for a worker to say that it has taken a request; {@code probeMs}: for a probe's answer; {@code
     * workerIdleMs} and {@code clientIdleMs}: after so long idle, connections close; {@code clientReadMs}: for a whole
     * request, the first one from connecting on; {@code acceptMs} and {@code drainMs}: how long after SIGTERM connections
     * are still accepted, and open ones still served; {@code shutdownMs}: when all must be answered and over; {@code
     * firstListMs}: for the first list since the start, before a process serves without.
     */
    public record Times(
            long dialMs,
            long firstByteMs,
            long probeMs,
            long workerIdleMs,
            long clientIdleMs,
            long clientReadMs,
            WatchTimeouts watchTimeouts,
            long longestDeadlineMs,
            long acceptMs,
            long drainMs,
            long shutdownMs,
            long firstListMs) {}
}
