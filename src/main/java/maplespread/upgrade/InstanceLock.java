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
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import maplespread.http.RateLimitedLogger;
import org.tinylog.Logger;

/**
 * Publishes this process to the other processes of the same dispatcher, and detects them. Each process writes a record
 * to a shared directory and holds a file lock beside the record for as long as the process runs. The kernel releases
 * the lock of a dead process, which reliably tells the files of a dead process from those of a live one; a process ID
 * could not, because the system reuses process IDs. Thread-safe except for {@link #close}, which must be the last
 * call.
 */
public final class InstanceLock implements Closeable {
    private static final String FILE_PREFIX = "maplespread-";
    private static final String LOCK_SUFFIX = ".lock";
    private static final String RECORD_SUFFIX = ".note";
    /** Suffix of the file that exists while a process claims its request ids in {@link SharedIdTables}. */
    private static final String SHARING_SUFFIX = ".sharing";
    /** Suffix of a lock file that is not locked yet. */
    private static final String NEW_LOCK_SUFFIX = ".begin";
    /** Suffix of a record that is not completely written yet. */
    private static final String NEW_RECORD_SUFFIX = ".next";

    /**
     * Another process of this dispatcher that is running.
     *
     * @param name identifies the process among all that have used the directory
     * @param sharesIds whether it claims its request ids in {@link SharedIdTables}
     */
    public record Peer(String name, InstanceRecord.Phase phase, boolean sharesIds) {}

    private final Path directory;
    private final String self;
    private final String listenAddress;
    private final FileChannel lockChannel;
    private final RateLimitedLogger rateLimitedLogger = new RateLimitedLogger();

    private InstanceLock(Path directory, String self, String listenAddress, FileChannel lockChannel) {
        this.directory = directory;
        this.self = self;
        this.listenAddress = listenAddress;
        this.lockChannel = lockChannel;
    }

    /**
     * Locks this process's lock file and publishes a record in phase STARTING.
     *
     * @param directory the directory that all processes of the dispatcher share
     * @param listenAddress the address where the dispatcher accepts clients
     * @return empty if the directory cannot be used; this method logs the failure, and the process then assumes that no
     *     other process of the dispatcher is running
     */
    public static Optional<InstanceLock> acquire(Path directory, String listenAddress) {
        FileChannel channel = null;
        try {
            String self = FILE_PREFIX + ProcessHandle.current().pid() + '-' + Long.toHexString(System.nanoTime());
            Path unlocked = directory.resolve(self + NEW_LOCK_SUFFIX);
            channel = FileChannel.open(unlocked, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            if (channel.tryLock() == null) {
                throw new IOException("the new lock file is already locked");
            }
            // The file is locked before it gets its final name. Otherwise another process could take it for the file
            // of a dead process and delete it.
            Files.move(unlocked, directory.resolve(self + LOCK_SUFFIX), StandardCopyOption.ATOMIC_MOVE);
            InstanceLock instanceLock = new InstanceLock(directory, self, listenAddress, channel);
            instanceLock.write(InstanceRecord.Phase.STARTING);
            return Optional.of(instanceLock);
        } catch (IOException | RuntimeException e) {
            Logger.warn(
                    "instance lock unavailable, other processes of this dispatcher are not detected: {}", e.toString());
            closeQuietly(channel);
            return Optional.empty();
        }
    }

    /** Publishes the phase to the other processes. If the write fails, logs that and keeps the previous record. */
    public void publish(InstanceRecord.Phase phase) {
        try {
            write(phase);
        } catch (IOException e) {
            Logger.warn("cannot write the instance record: {}", e.toString());
        }
    }

    private void write(InstanceRecord.Phase phase) throws IOException {
        Path unpublished = directory.resolve(self + NEW_RECORD_SUFFIX);
        Files.writeString(unpublished, new InstanceRecord(listenAddress, phase).encode());
        Files.move(unpublished, recordFile(self), StandardCopyOption.ATOMIC_MOVE);
    }

    private Path recordFile(String process) {
        return directory.resolve(process + RECORD_SUFFIX);
    }

    private Path lockFile(String process) {
        return directory.resolve(process + LOCK_SUFFIX);
    }

    /**
     * Publishes that this process claims its request ids in the shared tables, or that it no longer does.
     *
     * @throws IOException if the file cannot be written or deleted
     */
    public void publishSharing(boolean shares) throws IOException {
        if (shares) {
            Files.writeString(sharingFile(self), "");
        } else {
            Files.deleteIfExists(sharingFile(self));
        }
    }

    private Path sharingFile(String process) {
        return directory.resolve(process + SHARING_SUFFIX);
    }

    /** Whether any other process of this dispatcher is running. */
    public boolean hasPeer() {
        return !peers().isEmpty();
    }

    /** Whether another process of this dispatcher is running and accepts clients. */
    public boolean hasServingPeer() {
        return peers().stream().anyMatch(peer -> peer.phase() == InstanceRecord.Phase.SERVING);
    }

    /** Returns the other processes of this dispatcher, and deletes the files of dead processes. */
    public List<Peer> peers() {
        List<Peer> peers = new ArrayList<>();
        try (DirectoryStream<Path> locks = Files.newDirectoryStream(directory, FILE_PREFIX + '*' + LOCK_SUFFIX)) {
            for (Path lockFile : locks) {
                String fileName = lockFile.getFileName().toString();
                String process = fileName.substring(0, fileName.length() - LOCK_SUFFIX.length());
                if (!process.equals(self)) {
                    findPeer(process).ifPresent(peers::add);
                }
            }
        } catch (IOException | RuntimeException e) {
            rateLimitedLogger.warn("cannot check for other processes of this dispatcher: " + e);
        }
        return peers;
    }

    private Optional<Peer> findPeer(String process) throws IOException {
        Path recordFile = recordFile(process);
        if (!isHeld(lockFile(process))) { // the process has ended
            Files.deleteIfExists(recordFile);
            Files.deleteIfExists(sharingFile(process));
            Files.deleteIfExists(lockFile(process));
            return Optional.empty();
        }
        if (!Files.exists(recordFile)) { // the process has just started, or is closing
            return Optional.empty();
        }
        Optional<InstanceRecord> instanceRecord = InstanceRecord.parse(Files.readString(recordFile));
        if (instanceRecord.isEmpty()) {
            rateLimitedLogger.warn(recordFile.getFileName() + " is damaged or of another format version; ignored");
        }
        return instanceRecord
                .filter(peer -> peer.listenAddress().equals(listenAddress))
                .map(peer -> new Peer(process, peer.phase(), Files.exists(sharingFile(process))));
    }

    private static boolean isHeld(Path lockFile) throws IOException {
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.WRITE)) {
            FileLock acquired = channel.tryLock();
            return acquired == null;
        } catch (OverlappingFileLockException e) { // another InstanceLock of this JVM holds it
            return true;
        }
    }

    /** Deletes this process's files and releases its lock. */
    @Override
    public void close() {
        try {
            Files.deleteIfExists(recordFile(self));
            Files.deleteIfExists(sharingFile(self));
            Files.deleteIfExists(lockFile(self));
        } catch (IOException e) {
            Logger.warn("cannot delete the files of the instance lock: {}", e.toString());
        }
        closeQuietly(lockChannel);
    }

    private static void closeQuietly(FileChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // The kernel releases the lock when the process ends.
        }
    }
}
