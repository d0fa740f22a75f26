package maplespread.upgrade;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import maplespread.http.RateLimitedLogger;
import org.tinylog.Logger;

/**
 * This process among those of one dispatcher: a note in a directory that they share, and a lock beside it
 * that is held for as long as the process lives. The kernel lets go of a dead process's lock, so what it left
 * behind is told from a live one for sure; a process number would come again.
 */
public final class InstanceLock implements Closeable {
    private static final String PREFIX = "maplespread-";
    private static final String LOCK = ".lock";
    private static final String NOTE = ".note";
    private final Path dir;
    private final String me;
    private final String listen;
    private final FileChannel channel;
    private final RateLimitedLogger seldom = new RateLimitedLogger();

    private InstanceLock(Path dir, String me, String listen, FileChannel channel) {
        this.dir = dir;
        this.me = me;
        this.listen = listen;
        this.channel = channel;
    }

    /**
     * Makes this process known as starting. Empty where the directory will not do: then it is taken to be
     * alone.
     */
    public static Optional<InstanceLock> acquire(Path dir, String listen) {
        FileChannel channel = null;
        try {
            String me = PREFIX + ProcessHandle.current().pid() + '-' + Long.toHexString(System.nanoTime());
            Path begin = dir.resolve(me + ".begin");
            channel = FileChannel.open(begin, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            if (channel.tryLock() == null) {
                throw new IOException("its own lock is held");
            }
            // Locked before it has its name: else another could take it for a dead one's and clear it away.
            Files.move(begin, dir.resolve(me + LOCK), StandardCopyOption.ATOMIC_MOVE);
            InstanceLock presence = new InstanceLock(dir, me, listen, channel);
            presence.write(InstanceRecord.Phase.STARTING);
            return Optional.of(presence);
        } catch (IOException | RuntimeException e) {
            Logger.warn("no word with other processes of this dispatcher: {}", e.toString());
            quietly(channel);
            return Optional.empty();
        }
    }

    /** Tells the others; a note that cannot be written is logged, and the one before it stands. */
    public void publish(InstanceRecord.Phase state) {
        try {
            write(state);
        } catch (IOException e) {
            Logger.warn("the note to other processes cannot be written: {}", e.toString());
        }
    }

    private void write(InstanceRecord.Phase state) throws IOException {
        Path next = dir.resolve(me + ".next");
        Files.writeString(next, new InstanceRecord(listen, state).encode());
        Files.move(next, dir.resolve(me + NOTE), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Whether any other process of this dispatcher lives. */
    public boolean hasPeer() {
        return any(null);
    }

    /** Whether another one lives and takes clients. */
    public boolean hasServingPeer() {
        return any(InstanceRecord.Phase.SERVING);
    }

    private boolean any(InstanceRecord.Phase wanted) {
        boolean found = false;
        try (DirectoryStream<Path> all = Files.newDirectoryStream(dir, PREFIX + '*' + LOCK)) {
            for (Path lock : all) {
                String name = lock.getFileName().toString();
                String who = name.substring(0, name.length() - LOCK.length());
                found |= !who.equals(me) && is(who, wanted);
            }
        } catch (IOException | RuntimeException e) {
            seldom.warn("other processes cannot be looked for: " + e);
        }
        return found;
    }

    private boolean is(String who, InstanceRecord.Phase wanted) throws IOException {
        Path lock = dir.resolve(who + LOCK);
        Path note = dir.resolve(who + NOTE);
        if (!held(lock)) { // of a process that has ended: cleared away
            Files.deleteIfExists(note);
            Files.deleteIfExists(lock);
            return false;
        }
        if (!Files.exists(note)) {
            return false; // it has only just begun, or is ending
        }
        Optional<InstanceRecord> says = InstanceRecord.parse(Files.readString(note));
        if (says.isEmpty()) {
            seldom.warn(note.getFileName() + " is no note of this version: passed over");
        }
        return says.isPresent()
                && says.get().listenAddress().equals(listen)
                && (wanted == null || says.get().phase() == wanted);
    }

    private static boolean held(Path lock) throws IOException {
        try (FileChannel other = FileChannel.open(lock, StandardOpenOption.WRITE)) {
            FileLock got = other.tryLock();
            return got == null;
        } catch (OverlappingFileLockException mine) { // another one in this very process
            return true;
        }
    }

    /** Ends this process's presence; its files go. */
    @Override
    public void close() {
        try {
            Files.deleteIfExists(dir.resolve(me + NOTE));
            Files.deleteIfExists(dir.resolve(me + LOCK));
        } catch (IOException e) {
            Logger.warn("the note to other processes stays behind: {}", e.toString());
        }
        quietly(channel);
    }

    private static void quietly(FileChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // its lock goes with the process
        }
    }
}
