package maplespread.http;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;

/** A blocking socket with its input buffer. Every read has a time limit. */
public final class HttpConnection implements Closeable {
    private static final int BUFFER = 8 * 1024;
    private final Socket socket;
    private volatile long writingSince;
    private volatile boolean writing;
    private boolean stood;
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER).flip();

    public HttpConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
    }

    /** Connects within the limit. */
    public static HttpConnection dial(InetSocketAddress address, long limitMs) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(address, (int) Math.max(1, limitMs));
            return new HttpConnection(socket);
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /** Bytes that came and were not taken in yet. */
    public ByteBuffer buffer() {
        return buffer;
    }

    /** Whether bytes have come that nobody has read yet; asks the system, so other threads may ask too. */
    public boolean pending() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false; // it has ended
        }
    }

    /** Whether what was read last had come before anybody waited for it; since when is not known. */
    public boolean stood() {
        return stood;
    }

    /** Whether the peer has ended its sending by now; where nothing has come, it takes a millisecond. */
    public boolean ended() {
        try {
            return !fill(1);
        } catch (SocketTimeoutException silent) {
            return false;
        } catch (IOException reset) {
            return true;
        }
    }

    /** Waits for more bytes; false when the peer has ended its sending. */
    public boolean fill(long limitMs) throws IOException {
        if (buffer.hasRemaining()) {
            return true;
        }
        socket.setSoTimeout((int) Math.max(1, Math.min(limitMs, Integer.MAX_VALUE)));
        stood = pending();
        int n = socket.getInputStream().read(buffer.array(), 0, buffer.capacity());
        if (n < 0) {
            return false;
        }
        buffer.position(0).limit(n);
        return true;
    }

    /** Reads until the message is whole; the limit is on all of it. */
    public void receive(HttpParser parser, long limitMs) throws IOException {
        receiveBy(parser, System.nanoTime() + limitMs * 1_000_000, false);
    }

    /**
     * Reads until the message, or only its head, is whole. The time is on the whole of it: guards against
     * peers that send a byte now and then.
     */
    public void receiveBy(HttpParser parser, long endNanos, boolean headOnly) throws IOException {
        while (!parser.feed(buffer) && !(headOnly && parser.headDone())) {
            long left = (endNanos - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new SocketTimeoutException("message not whole in time");
            }
            if (!fill(left)) {
                if (parser.endsWithClose()) {
                    return;
                }
                throw new EOFException("connection ended inside a message");
            }
        }
    }

    /** Writes the bytes in one go, so that head and body share their fate. */
    public void send(byte[] bytes) throws IOException {
        writingSince = System.nanoTime();
        writing = true;
        try {
            socket.getOutputStream().write(bytes);
        } finally {
            writing = false;
        }
    }

    /** Closes the connection if a write has lasted longer: guards against a peer that does not read. */
    public void cutIfStuck(long limitMs) {
        if (writing && System.nanoTime() - writingSince > limitMs * 1_000_000) {
            close();
        }
    }

    /**
     * Whether an idle connection has ended or brought bytes nobody asked for. Guards against a request that
     * is written to a connection which the peer has closed: it would end as a reset that may have run.
     */
    public boolean stale() {
        try {
            fill(1);
            return true; // an end, or bytes out of turn
        } catch (SocketTimeoutException silent) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Ends the sending only: what was written still arrives. */
    public void endSending() {
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    /** Makes a blocked or later read see the end. */
    public void endReading() {
        try {
            socket.shutdownInput();
        } catch (IOException e) {
            close();
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // nothing is left to be done with it
        }
    }
}
