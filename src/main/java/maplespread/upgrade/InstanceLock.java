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
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import maplespread.http.RateLimitedLogger;
import org.tinylog.Logger;

/**
 * This process among those of one dispatcher: a record in a directory that they share, and a lock beside it that is held
 * for as long as the process lives. The kernel releases a dead process's lock, so that the files of a dead process are
 * told from those of a live one with certainty; a process number would be used again. Thread-safe but for {@link
 * #close}, which comes last.
 */
public final class InstanceLock implements Closeable {
    private static final String FILE_PREFIX = "maplespread-";
    private static final String LOCK_SUFFIX = ".lock";
    private static final String RECORD_SUFFIX = ".note";
    /** A lock file before it is locked. */
    private static final String NEW_LOCK_SUFFIX = ".begin";
    /** A record before it is whole. */
    private static final String NEW_RECORD_SUFFIX = ".next";

    private final Path directory;
    private final String self;
    private final String listenAddress;
    private final FileChannel lock;
    private final RateLimitedLogger rateLimitedLogger = new RateLimitedLogger();

    private InstanceLock(Path directory, String self, String listenAddress, FileChannel lock) {
        this.directory = directory;
        this.self = self;
        this.listenAddress = listenAddress;
        this.lock = lock;
    }

    /**
     * Makes this process known as starting. Empty, and logged, where the directory cannot be used: then the process
     * takes itself to be alone.
     */
    public static Optional<InstanceLock> acquire(Path directory, String listenAddress) {
        FileChannel channel = null;
        try {
            String self = FILE_PREFIX + ProcessHandle.current().pid() + '-' + Long.toHexString(System.nanoTime());
            Path unlocked = directory.resolve(self + NEW_LOCK_SUFFIX);
            channel = FileChannel.open(unlocked, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            if (channel.tryLock() == null) {
                throw new IOException("its own lock is held");
            }
            // Locked before it has its name: else another process could take it for a dead one's and delete it.
            Files.move(unlocked, directory.resolve(self + LOCK_SUFFIX), StandardCopyOption.ATOMIC_MOVE);
            InstanceLock instanceLock = new InstanceLock(directory, self, listenAddress, channel);
            instanceLock.write(InstanceRecord.Phase.STARTING);
            return Optional.of(instanceLock);
        } catch (IOException | RuntimeException e) {
            Logger.warn("no word with other processes of this dispatcher: {}", e.toString());
            closeQuietly(channel);
            return Optional.empty();
        }
    }

    /** Tells the others; a record that cannot be written is logged, and the one before it stands. */
    public void publish(InstanceRecord.Phase phase) {
        try {
            write(phase);
        } catch (IOException e) {
            Logger.warn("the note to other processes cannot be written: {}", e.toString());
        }
    }

    private void write(InstanceRecord.Phase phase) throws IOException {
        Path next = directory.resolve(self + NEW_RECORD_SUFFIX);
        Files.writeString(next, new InstanceRecord(listenAddress, phase).encode());
        Files.move(next, recordFile(self), StandardCopyOption.ATOMIC_MOVE);
    }

    private Path recordFile(String process) {
        return directory.resolve(process + RECORD_SUFFIX);
    }

    private Path lockFile(String process) {
        return directory.resolve(process + LOCK_SUFFIX);
    }

    /** Whether any other process of this dispatcher lives. */
    public boolean hasPeer() {
        return hasPeerIn(EnumSet.allOf(InstanceRecord.Phase.class));
    }

    /** Whether another process of this dispatcher lives and takes clients. */
    public boolean hasServingPeer() {
        return hasPeerIn(EnumSet.of(InstanceRecord.Phase.SERVING));
    }

    /** Looks at all processes, also after one was found, so that the files of dead ones are deleted. */
    private boolean hasPeerIn(Set<InstanceRecord.Phase> phases) {
        boolean found = false;
        try (DirectoryStream<Path> locks = Files.newDirectoryStream(directory, FILE_PREFIX + '*' + LOCK_SUFFIX)) {
            for (Path lockFile : locks) {
                String fileName = lockFile.getFileName().toString();
                String process = fileName.substring(0, fileName.length() - LOCK_SUFFIX.length());
                if (!process.equals(self)) {
                    found |= isPeerIn(process, phases);
                }
            }
        } catch (IOException | RuntimeException e) {
            rateLimitedLogger.warn("other processes cannot be looked for: " + e);
        }
        return found;
    }

    private boolean isPeerIn(String process, Set<InstanceRecord.Phase> phases) throws IOException {
        Path recordFile = recordFile(process);
        if (!isHeld(lockFile(process))) { // the process has ended
            Files.deleteIfExists(recordFile);
            Files.deleteIfExists(lockFile(process));
            return false;
        }
        if (!Files.exists(recordFile)) { // it has only just started, or is ending
            return false;
        }
        Optional<InstanceRecord> instanceRecord = InstanceRecord.parse(Files.readString(recordFile));
        if (instanceRecord.isEmpty()) {
            rateLimitedLogger.warn(recordFile.getFileName() + " is no note of this version: passed over");
        }
        return instanceRecord
                .filter(peer -> peer.listenAddress().equals(listenAddress))
                .filter(peer -> phases.contains(peer.phase()))
                .isPresent();
    }

    private static boolean isHeld(Path lockFile) throws IOException {
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.WRITE)) {
            FileLock acquired = channel.tryLock();
            return acquired == null;
        } catch (OverlappingFileLockException e) { // held by another instance in this very process
            return true;
        }
    }

    /** Ends this process's presence; its files are deleted. */
    @Override
    public void close() {
        try {
            Files.deleteIfExists(recordFile(self));
            Files.deleteIfExists(lockFile(self));
        } catch (IOException e) {
            Logger.warn("the note to other processes stays behind: {}", e.toString());
        }
        closeQuietly(lock);
    }

    private static void closeQuietly(FileChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // The lock is released with the process.
        }
    }
}
