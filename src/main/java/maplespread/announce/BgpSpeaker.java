package maplespread.announce;

import java.util.List;
import java.util.SplittableRandom;
import maplespread.announce.BgpMessage.Keepalive;
import maplespread.announce.BgpMessage.Notification;
import maplespread.announce.BgpMessage.Open;
import maplespread.announce.BgpMessage.Prefix;
import maplespread.announce.BgpMessage.Update;

/**
 * The session with the router, and whether the prefix is announced on it. What is wanted outlives the
 * session: whenever one comes up, the router is told what holds then. A withdrawal also goes out as the end
 * of a session, since routers drop what a peer has told when its connection ends.
 */
public final class BgpSpeaker {
    /** RFC 4271's states, without those of an incoming connection: this side always dials. */
    public enum State {
        IDLE,
        CONNECT,
        OPEN_SENT,
        OPEN_CONFIRM,
        ESTABLISHED
    }

    /** Where the speaker's words go; must not call back. */
    public interface Sink {
        void connect();

        void send(byte[] bytes);

        void close();

        void event(boolean warning, String name, Object... pairs);
    }

    private static final long OPEN_MS = 4000; // for the peer's OPEN, and for a connection
    private static final long RETRY_BASE_MS = 50, RETRY_CAP_MS = 5000;
    /** Terms are Unix milliseconds; preferences have 32 bits. In steps of 64 ms they last for 8 years. */
    private static final long TERM_ZERO = 1_764_000_000_000L, TERM_STEP = 64;

    private final long as;
    private final int id, nextHop, holdS;
    private final Prefix prefix;
    private final Sink sink;
    private final SplittableRandom random;
    private BgpCodec codec = new BgpCodec();
    private State state = State.IDLE;
    private long retryAt, retryMs;
    private long deadAt = Long.MAX_VALUE, aliveAt = Long.MAX_VALUE, keepMs;
    private boolean wanted, told;
    private long preference;

    /** {@code holdS}: seconds without a word after which the other is given up, 3 at least. */
    public BgpSpeaker(long as, String id, String nextHop, String prefix, int holdS, long seed, Sink sink) {
        if (holdS < 3 || holdS > 0xffff) {
            throw new IllegalArgumentException("a hold time has 3 to 65,535 s");
        }
        this.as = as;
        this.id = Prefix.address(id);
        this.nextHop = Prefix.address(nextHop);
        this.prefix = Prefix.of(prefix);
        this.holdS = holdS;
        this.sink = sink;
        random = new SplittableRandom(seed);
    }

    /** A later term is preferred to an earlier one, should both be announced for a moment. */
    public static long preference(long term) {
        return Math.max(0, Math.min(0xffff_ffffL, (term - TERM_ZERO) / TERM_STEP));
    }

    public State state() {
        return state;
    }

    /** Whether the router has been told that the address is here, on the session that is up. */
    public boolean told() {
        return told;
    }

    /** The address is here, under this term. */
    public void announce(long now, long term) {
        wanted = true;
        preference = preference(term);
        tell(now);
    }

    /** The address is not here: told at once where a session is up. */
    public void withdraw(long now) {
        wanted = false;
        if (told) {
            told = false;
            send(now, new Update(List.of(prefix), List.of(), 0, 0));
            sink.event(false, "bgp.withdrawn");
        }
    }

    private void tell(long now) {
        if (wanted && state == State.ESTABLISHED) {
            told = true;
            send(now, new Update(List.of(), List.of(prefix), nextHop, preference));
            sink.event(false, "bgp.announced", "preference", preference);
        }
    }

    private void send(long now, BgpMessage m) {
        aliveAt = keepMs > 0 ? now + keepMs : Long.MAX_VALUE;
        sink.send(BgpCodec.bytes(m));
    }

    /** Does what is due; returns when to be called again. */
    public long tick(long now) {
        if (state == State.IDLE && now >= retryAt) {
            state = State.CONNECT;
            codec = new BgpCodec();
            deadAt = now + OPEN_MS;
            sink.connect();
        } else if (state != State.IDLE && now >= deadAt) {
            fail(now, state == State.CONNECT ? null : new BgpException(4, 0, "the peer has been silent"));
        } else if (state.ordinal() >= State.OPEN_CONFIRM.ordinal() && now >= aliveAt) {
            send(now, new Keepalive());
        }
        return state == State.IDLE ? retryAt : Math.min(deadAt, aliveAt);
    }

    /** The connection is up. */
    public void connected(long now) {
        if (state == State.CONNECT) {
            state = State.OPEN_SENT;
            deadAt = now + OPEN_MS;
            send(now, new Open(as, holdS, id));
        }
    }

    /** The connection could not be had, or has ended. */
    public void closed(long now) {
        if (state != State.IDLE) {
            fail(now, null);
        }
    }

    /** Bytes have come. */
    public void received(long now, byte[] bytes, int length) {
        try {
            for (BgpMessage m : codec.feed(bytes, length)) {
                if (state.ordinal() < State.OPEN_SENT.ordinal()) {
                    return;
                }
                take(now, m);
            }
        } catch (BgpException e) {
            fail(now, e);
        }
    }

    private void take(long now, BgpMessage m) throws BgpException {
        if (m instanceof Notification n) {
            sink.event(true, "bgp.notified", "code", n.code(), "subcode", n.subcode());
            fail(now, null);
        } else if (state == State.OPEN_SENT) {
            if (!(m instanceof Open open)) {
                throw new BgpException(5, 1, "no OPEN at first");
            }
            if (open.as() != as) {
                throw new BgpException(2, 2, "system " + open.as() + " is not this one's");
            }
            int hold = Math.min(holdS, open.holdS());
            keepMs = hold * 1000L / 3;
            holdMs = hold == 0 ? 0 : hold * 1000L;
            state = State.OPEN_CONFIRM;
            heard(now);
            send(now, new Keepalive());
        } else if (m instanceof Open) {
            throw new BgpException(5, state == State.OPEN_CONFIRM ? 2 : 3, "a second OPEN");
        } else {
            heard(now);
            if (state == State.OPEN_CONFIRM && m instanceof Keepalive) {
                state = State.ESTABLISHED;
                retryMs = 0;
                sink.event(false, "bgp.established", "hold_ms", holdMs);
                tell(now);
            } else if (state == State.OPEN_CONFIRM) {
                throw new BgpException(5, 2, "an UPDATE before the session is up");
            }
        }
    }

    private long holdMs;

    private void heard(long now) {
        deadAt = holdMs == 0 ? Long.MAX_VALUE : now + holdMs;
    }

    private void fail(long now, BgpException why) {
        if (why != null) {
            sink.event(true, "bgp.failed", "code", why.code, "subcode", why.subcode, "why", why.getMessage());
            sink.send(BgpCodec.bytes(new Notification(why.code, why.subcode)));
        }
        end(now);
        retryMs = Math.min(RETRY_CAP_MS, RETRY_BASE_MS + random.nextLong(Math.max(1, retryMs * 3)));
        retryAt = now + retryMs;
    }

    private void end(long now) {
        state = State.IDLE;
        told = false;
        deadAt = Long.MAX_VALUE;
        aliveAt = Long.MAX_VALUE;
        keepMs = 0;
        sink.close();
    }

    /** Ends for good: withdraws, and says that this is meant (Cease, administrative shutdown, RFC 4486). */
    public void shutDown(long now) {
        withdraw(now);
        if (state.ordinal() >= State.OPEN_SENT.ordinal()) {
            sink.send(BgpCodec.bytes(new Notification(6, 2)));
        }
        end(now);
        retryAt = Long.MAX_VALUE;
    }
}
