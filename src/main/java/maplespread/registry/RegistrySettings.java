package maplespread.registry;

import java.util.List;

/**
 * How a registry is followed. {@code follow}: etcd's and Consul's key prefixes, or the names of Consul
 * services; {@code endpoints} in the order of preference. {@code tokenFile}: empty where none is needed.
 * {@code page}: keys in one answer of a rebuild; {@code requestsPerS}: what all dispatchers together may ask
 * of the registry. Times are milliseconds: {@code dialMs} to connect, {@code answerMs} for an answer,
 * {@code silenceMs} after which a watch that says nothing is replaced, {@code waitMs} that a blocking
 * question asks for, {@code preferAgainMs} after which a better endpoint is tried again,
 * {@code restoreAfterMs} after which a history that has gone back is believed, {@code forgetAfterMs} for
 * which workers absent from a restored history are kept, {@code notReadyAfterMs} after which an old view
 * makes the dispatcher unready (0: never).
 */
public record RegistrySettings(Dialect dialect, List<String> endpoints, List<String> follow, String tokenFile,
        int page, int requestsPerS, long dialMs, long answerMs, long silenceMs, long waitMs,
        long preferAgainMs, long restoreAfterMs, long forgetAfterMs, long notReadyAfterMs) {
    /** ETCD: v3 by its JSON gateway. CONSUL_KV: recursive keys. CONSUL_HEALTH: instances of services. */
    public enum Dialect {
        ETCD, CONSUL_KV, CONSUL_HEALTH;

        /** Whether every answer holds all there is, and none tells what has changed. */
        public boolean wholeAnswers() {
            return this != ETCD;
        }
    }

    /** With the defaults of the operators' file, for tools and tests. */
    public static RegistrySettings of(Dialect dialect, List<String> endpoints, List<String> follow) {
        return new RegistrySettings(dialect, endpoints, follow, "", 1000, 2000, 500, 3000, 10_000, 60_000,
            30_000, 3000, 15_000, 60_000);
    }
}
