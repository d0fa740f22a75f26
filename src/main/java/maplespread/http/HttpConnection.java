package maplespread.http;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;

/** A blocking socket with an input buffer. Every read has a time limit. */
public final class HttpConnection implements Closeable {
    private static final int BUFFER_BYTES = 8 * 1024;
    private final Socket socket;
    /** The start of the write in progress, or of the last one. */
    private volatile long writeStartNanos;

    private volatile boolean writing;
    private boolean dataWasWaiting;
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES).flip();

    public HttpConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
    }

    /** Connects within {@code limitMs} milliseconds. */
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

    /** Returns the bytes that have been read from the socket and not consumed yet. */
    public ByteBuffer buffer() {
        return buffer;
    }

    /** Whether the socket has unread bytes. Asks the kernel, so any thread may call this. */
    public boolean pending() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false; // the connection has ended
        }
    }

    /** Whether the bytes read last had arrived before the read began; for how long they had waited is not known. */
    public boolean dataWasWaiting() {
        return dataWasWaiting;
    }

    /** Whether the peer has ended its sending; blocks for a millisecond if nothing has arrived. */
    public boolean peerHasClosed() {
        try {
            return !fill(1);
        } catch (SocketTimeoutException silent) {
            return false;
        } catch (IOException reset) {
            return true;
        }
    }

    /** Waits for bytes unless some are buffered; false if the peer has ended its sending. */
    public boolean fill(long limitMs) throws IOException {
        if (buffer.hasRemaining()) {
            return true;
        }
        socket.setSoTimeout((int) Math.max(1, Math.min(limitMs, Integer.MAX_VALUE)));
        dataWasWaiting = pending();
        int count = socket.getInputStream().read(buffer.array(), 0, buffer.capacity());
        if (count < 0) {
            return false;
        }
        buffer.position(0).limit(count);
        return true;
    }

    /** Reads until the message is complete; the limit applies to the whole message. */
    public void receive(HttpParser parser, long limitMs) throws IOException {
        receiveBy(parser, System.nanoTime() + limitMs * 1_000_000);
    }

    /** Asked after each piece of a head. */
    public interface HeadCheck {
        /** Throws if there is no room for what has been parsed of the head. */
        void check() throws IOException;
    }

    /** Reads until the message is complete. The limit applies to the whole message and not to each read. */
    public void receiveBy(HttpParser parser, long endNanos) throws IOException {
        while (!parser.feed(buffer)) {
            if (!fillBy(endNanos)) {
                if (parser.endsWithClose()) {
                    return;
                }
                throw new EOFException("connection ended inside a message");
            }
        }
    }

    /** Reads until the message's head is complete, and leaves what follows it unread or in the buffer. */
    public void receiveHeadBy(HttpParser parser, long endNanos, HeadCheck headCheck) throws IOException {
        while (true) {
            boolean complete = parser.feedHead(buffer);
            headCheck.check();
            if (complete) {
                return;
            }
            if (!fillBy(endNanos)) {
                throw new EOFException("connection ended inside a message");
            }
        }
    }

    /** Waits for bytes until the time, as a peer may send a byte now and then. */
    private boolean fillBy(long endNanos) throws IOException {
        long remainingMs = (endNanos - System.nanoTime()) / 1_000_000;
        if (remainingMs <= 0) {
            throw new SocketTimeoutException("message incomplete within the time limit");
        }
        return fill(remainingMs);
    }

    /**
     * Writes the bytes, a short message with one call, so that head and body are sent together. A long one is written in
     * pieces: each call copies its bytes to memory outside the heap, which all connections share.
     */
    public void send(byte[] bytes) throws IOException {
        writeStartNanos = System.nanoTime();
        writing = true;
        try {
            OutputStream out = socket.getOutputStream();
            for (int at = 0; at < bytes.length; at += BUFFER_BYTES) {
                out.write(bytes, at, Math.min(BUFFER_BYTES, bytes.length - at));
            }
        } finally {
            writing = false;
        }
    }

    /**
     * Closes the connection if a write has lasted longer than {@code limitMs}, as when the peer does not read.
     *
     * @return whether it was closed
     */
    public boolean closeIfWriteStalled(long limitMs) {
        boolean stalled = writing && System.nanoTime() - writeStartNanos > limitMs * 1_000_000;
        if (stalled) {
            close();
        }
        return stalled;
    }

    /**
     * Whether an idle connection has ended or has received unexpected bytes. A request written to a connection that the
     * peer has closed would end in a reset after which the request may have run.
     */
    public boolean stale() {
        try {
            fill(1);
            return true; // the end, or unexpected bytes
        } catch (SocketTimeoutException silent) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Shuts down the output only; bytes already written are still delivered. */
    public void endSending() {
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    /** Shuts down the input; a blocked read and all later reads return the end of the stream. */
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
            // the socket cannot be used any more
        }
    }
}
