package maplespread.announce;

import java.util.List;
import java.util.SplittableRandom;
import maplespread.announce.BgpMessage.Keepalive;
import maplespread.announce.BgpMessage.Notification;
import maplespread.announce.BgpMessage.Open;
import maplespread.announce.BgpMessage.Prefix;
import maplespread.announce.BgpMessage.Update;

/**
 * The session with the router, and whether the prefix is announced on it. What is wanted outlives the session: whenever
 * one comes up, the router is sent what holds then. The end of a session withdraws, too, since routers drop what a peer
 * has announced when its connection ends.
 *
 * <p>Its owner passes the time in, in milliseconds of a clock that never goes back, and calls it from one thread at a
 * time.
 */
public final class BgpSpeaker {
    /** The states of RFC 4271 section 8, without those of an incoming connection: this side always connects. */
    public enum State {
        /** Without a connection; the next attempt waits for its time. */
        IDLE,
        /** A connection is being made. */
        CONNECT,
        /** Waits for the peer's OPEN. */
        OPEN_SENT,
        /** Waits for the peer's KEEPALIVE. */
        OPEN_CONFIRM,
        /** Routes may be exchanged. */
        ESTABLISHED
    }

    /** Takes what the speaker wants done. Called during calls of the speaker; must not call it back. */
    public interface Transport {
        /** Connects to the router, and then calls {@link BgpSpeaker#connected} or {@link BgpSpeaker#closed}. */
        void connect();

        /** Sends bytes on the connection. */
        void send(byte[] bytes);

        /** Closes the connection, if there is one. */
        void close();

        /** Something for the log: its name, then names and values in turn. */
        void event(boolean warning, String name, Object... pairs);
    }

    /** How long a connection, or the peer's OPEN, may take. */
    private static final long OPEN_TIMEOUT_MS = 4000;

    private static final long RETRY_BASE_MS = 50;
    private static final long MAX_RETRY_MS = 5000;

    /** Backoff with decorrelated jitter: up to this many times the last one, and the base. */
    private static final int RETRY_GROWTH = 3;

    private static final int MIN_HOLD_SECONDS = 3;
    private static final int MAX_HOLD_SECONDS = 0xffff;
    private static final int KEEPALIVES_PER_HOLD_TIME = 3;
    private static final long MS_PER_SECOND = 1000;
    private static final long NEVER = Long.MAX_VALUE;

    /** Terms are Unix milliseconds, preferences have 32 bits: in steps of 64 ms they last for 8 years from here. */
    private static final long FIRST_TERM = 1_764_000_000_000L;

    private static final long TERMS_PER_PREFERENCE = 64;
    private static final long MAX_PREFERENCE = 0xffff_ffffL;

    private static final int SUBCODE_UNSPECIFIC = 0;
    private static final int SUBCODE_BAD_PEER_AS = 2;
    private static final int SUBCODE_IN_OPEN_SENT = 1;
    private static final int SUBCODE_IN_OPEN_CONFIRM = 2;
    private static final int SUBCODE_IN_ESTABLISHED = 3;
    private static final int SUBCODE_ADMINISTRATIVE_SHUTDOWN = 2;

    private final long asNumber;
    private final int identifier;
    private final int nextHop;
    private final int holdSeconds;
    private final Prefix prefix;
    private final Transport transport;
    private final SplittableRandom random;
    private BgpDecoder decoder = new BgpDecoder();
    private State state = State.IDLE;
    private long retryAt;
    private long retryDelayMs;
    private long holdMs;
    private long keepaliveMs;
    private long holdEndsAt = NEVER;
    private long keepaliveAt = NEVER;
    private boolean wanted;
    private boolean announced;
    private long preference;

    /**
     * A speaker that announces nothing and connects with its first tick.
     *
     * @param asNumber the number of the autonomous system that both sides belong to
     * @param identifier of this speaker, a dotted address
     * @param nextHop where packets for the prefix go, a dotted address
     * @param prefix of the form 192.0.2.10/32
     * @param holdSeconds after which a silent peer is given up, 3 at least
     * @param seed of the random source that spreads attempts to connect
     * @throws IllegalArgumentException if one of these is malformed
     */
    public BgpSpeaker(
            long asNumber,
            String identifier,
            String nextHop,
            String prefix,
            int holdSeconds,
            long seed,
            Transport transport) {
        if (holdSeconds < MIN_HOLD_SECONDS || holdSeconds > MAX_HOLD_SECONDS) {
            throw new IllegalArgumentException("a hold time has 3 to 65,535 s");
        }
        this.asNumber = asNumber;
        this.identifier = Prefix.address(identifier);
        this.nextHop = Prefix.address(nextHop);
        this.prefix = Prefix.of(prefix);
        this.holdSeconds = holdSeconds;
        this.transport = transport;
        random = new SplittableRandom(seed);
    }

    /** The preference of a term: a later term is preferred to an earlier one, should both be announced for a moment. */
    public static long preference(long term) {
        return Math.max(0, Math.min(MAX_PREFERENCE, (term - FIRST_TERM) / TERMS_PER_PREFERENCE));
    }

    /** The state of the session. */
    public State state() {
        return state;
    }

    /** Whether the prefix is announced on the session that is up. */
    public boolean announced() {
        return announced;
    }

    // ------------------------------------------------------------ what is announced

    /** The address is here, under this term: announced now, or when a session comes up. */
    public void announce(long now, long term) {
        wanted = true;
        preference = preference(term);
        announceIfWanted(now);
    }

    /** The address is not here: withdrawn at once where a session is up. */
    public void withdraw(long now) {
        wanted = false;
        if (announced) {
            announced = false;
            send(now, new Update(List.of(prefix), List.of(), 0, 0));
            transport.event(false, "bgp.withdrawn");
        }
    }

    private void announceIfWanted(long now) {
        if (wanted && state == State.ESTABLISHED) {
            announced = true;
            send(now, new Update(List.of(), List.of(prefix), nextHop, preference));
            transport.event(false, "bgp.announced", "preference", preference);
        }
    }

    private void send(long now, BgpMessage message) {
        keepaliveAt = keepaliveMs > 0 ? now + keepaliveMs : NEVER;
        transport.send(BgpEncoder.encode(message));
    }

    // ------------------------------------------------------------ time

    /** Does what is due; returns when to be called again at the latest, in milliseconds. */
    public long tick(long now) {
        if (state == State.IDLE && now >= retryAt) {
            state = State.CONNECT;
            decoder = new BgpDecoder();
            holdEndsAt = now + OPEN_TIMEOUT_MS;
            transport.connect();
        } else if (state != State.IDLE && now >= holdEndsAt) {
            holdTimeOver(now);
        } else if (isAtLeast(State.OPEN_CONFIRM) && now >= keepaliveAt) {
            send(now, new Keepalive());
        }
        return state == State.IDLE ? retryAt : Math.min(holdEndsAt, keepaliveAt);
    }

    private boolean isAtLeast(State least) {
        return state.compareTo(least) >= 0;
    }

    private void holdTimeOver(long now) {
        if (state == State.CONNECT) {
            endAndRetry(now);
        } else {
            fail(
                    now,
                    new BgpException(BgpException.HOLD_TIMER_EXPIRED, SUBCODE_UNSPECIFIC, "the peer has been silent"));
        }
    }

    // ------------------------------------------------------------ the connection

    /** The connection is up. */
    public void connected(long now) {
        if (state == State.CONNECT) {
            state = State.OPEN_SENT;
            holdEndsAt = now + OPEN_TIMEOUT_MS;
            send(now, new Open(asNumber, holdSeconds, identifier));
        }
    }

    /** The connection could not be made, or has ended. */
    public void closed(long now) {
        if (state != State.IDLE) {
            endAndRetry(now);
        }
    }

    /** The first {@code length} of these bytes were received. */
    public void received(long now, byte[] bytes, int length) {
        try {
            for (BgpMessage message : decoder.feed(bytes, length)) {
                if (!isAtLeast(State.OPEN_SENT)) {
                    return;
                }
                handle(now, message);
            }
        } catch (BgpException e) {
            fail(now, e);
        }
    }

    private void handle(long now, BgpMessage message) throws BgpException {
        if (message instanceof Notification notification) {
            transport.event(true, "bgp.notified", "code", notification.code(), "subcode", notification.subcode());
            endAndRetry(now);
        } else if (state == State.OPEN_SENT) {
            handleFirst(now, message);
        } else if (message instanceof Open) {
            int subcode = state == State.OPEN_CONFIRM ? SUBCODE_IN_OPEN_CONFIRM : SUBCODE_IN_ESTABLISHED;
            throw new BgpException(BgpException.STATE_MACHINE_ERROR, subcode, "a second OPEN");
        } else {
            restartHoldTime(now);
            if (state == State.OPEN_CONFIRM) {
                confirm(now, message);
            }
        }
    }

    private void handleFirst(long now, BgpMessage message) throws BgpException {
        if (!(message instanceof Open open)) {
            throw new BgpException(BgpException.STATE_MACHINE_ERROR, SUBCODE_IN_OPEN_SENT, "no OPEN at first");
        }
        if (open.asNumber() != asNumber) {
            throw new BgpException(
                    BgpException.OPEN_MESSAGE_ERROR,
                    SUBCODE_BAD_PEER_AS,
                    "system " + open.asNumber() + " is not this one's");
        }
        holdMs = Math.min(holdSeconds, open.holdSeconds()) * MS_PER_SECOND;
        keepaliveMs = holdMs / KEEPALIVES_PER_HOLD_TIME;
        state = State.OPEN_CONFIRM;
        restartHoldTime(now);
        send(now, new Keepalive());
    }

    private void confirm(long now, BgpMessage message) throws BgpException {
        if (!(message instanceof Keepalive)) {
            throw new BgpException(
                    BgpException.STATE_MACHINE_ERROR, SUBCODE_IN_OPEN_CONFIRM, "an UPDATE before the session is up");
        }
        state = State.ESTABLISHED;
        retryDelayMs = 0;
        transport.event(false, "bgp.established", "hold_ms", holdMs);
        announceIfWanted(now);
    }

    private void restartHoldTime(long now) {
        holdEndsAt = holdMs == 0 ? NEVER : now + holdMs;
    }

    // ------------------------------------------------------------ the end of a session

    private void fail(long now, BgpException error) {
        transport.event(
                true, "bgp.failed", "code", error.code(), "subcode", error.subcode(), "why", error.getMessage());
        transport.send(BgpEncoder.encode(new Notification(error.code(), error.subcode())));
        endAndRetry(now);
    }

    private void endAndRetry(long now) {
        end();
        long spreadMs = random.nextLong(Math.max(1, retryDelayMs * RETRY_GROWTH));
        retryDelayMs = Math.min(MAX_RETRY_MS, RETRY_BASE_MS + spreadMs);
        retryAt = now + retryDelayMs;
    }

    private void end() {
        state = State.IDLE;
        announced = false;
        holdEndsAt = NEVER;
        keepaliveAt = NEVER;
        keepaliveMs = 0;
        transport.close();
    }

    /** Ends for good: withdraws, and reports that this is intended (Cease, administrative shutdown, RFC 4486). */
    public void shutDown(long now) {
        withdraw(now);
        if (isAtLeast(State.OPEN_SENT)) {
            transport.send(BgpEncoder.encode(new Notification(BgpException.CEASE, SUBCODE_ADMINISTRATIVE_SHUTDOWN)));
        }
        end();
        retryAt = NEVER;
    }
}
