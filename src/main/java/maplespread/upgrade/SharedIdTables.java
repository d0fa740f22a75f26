package maplespread.upgrade;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import maplespread.http.RateLimitedLogger;

/**
 * The request ids claimed by all processes of one dispatcher while one process replaces another. Each id has one
 * claimant, whichever process asks first, and stays claimed for at least one period. No call waits for another process.
 *
 * <p>Claims are kept in numbered {@link MappedHashTable}s in the directory that the processes share. A process adds to
 * the newest table and also looks into the one before it. After a period a process puts a newer table in place, then
 * closes the one that was the newest. Whoever finds its table closed after an addition repeats the claim in the newer
 * one, and nobody uses a table before the previous one is closed. So an addition that finds its table still open
 * precedes all uses of the newer table, which look into the older one.
 *
 * <p>Thread-safe. The last two tables stay in the directory for the next upgrade.
 */
public final class SharedIdTables {
    /** The result of a claim. */
    public enum Claim {
        CLAIMED,
        /** Another request has used the id. */
        USED,
        /** There is no room for another id at present. */
        FULL
    }

    private static final String FILE_PREFIX = "maplespread-ids-";
    private static final String FILE_SUFFIX = ".table";
    private static final long NANOS_PER_MS = 1_000_000;

    private final Path directory;
    private final String filePrefix;
    private final LongSupplier periodMs;
    private final LongSupplier nanoTime;
    private final RateLimitedLogger rateLimitedLogger = new RateLimitedLogger();
    private long currentNumber;
    private MappedHashTable current;
    /** The table before the current one; null if there is none. */
    private MappedHashTable previous;

    private long openedNanos;

    /**
     * Opens the newest tables, or creates the first one.
     *
     * @param directory the directory that all processes of the dispatcher share
     * @param listenAddress the address where the dispatcher accepts clients
     * @param periodMs how long an id stays claimed at least, in milliseconds, evaluated at each use
     * @throws IOException if the tables cannot be read or written
     */
    public SharedIdTables(Path directory, String listenAddress, LongSupplier periodMs) throws IOException {
        this(directory, listenAddress, periodMs, System::nanoTime);
    }

    SharedIdTables(Path directory, String listenAddress, LongSupplier periodMs, LongSupplier nanoTime)
            throws IOException {
        this.directory = directory;
        this.periodMs = periodMs;
        this.nanoTime = nanoTime;
        filePrefix = FILE_PREFIX + listenAddress.replaceAll("[^0-9A-Za-z.]", "_") + '-';
        if (tableFiles().isEmpty()) {
            createTable(1);
        }
        openNewest();
    }

    /**
     * Claims the id with this hash.
     *
     * @throws IOException if a newer table exists and cannot be read
     */
    public synchronized Claim claim(long hash) throws IOException {
        long addedToNumber = -1;
        while (true) {
            if (previous != null && currentNumber - 1 != addedToNumber && previous.contains(hash)) {
                return Claim.USED;
            }
            MappedHashTable.Addition addition = current.add(hash);
            if (!current.isClosed()) {
                return switch (addition) {
                    case ADDED -> Claim.CLAIMED;
                    case PRESENT -> Claim.USED;
                    case FULL -> Claim.FULL;
                };
            }
            addedToNumber = addition == MappedHashTable.Addition.ADDED ? currentNumber : -1;
            openNewest();
        }
    }

    /** Releases the id with this hash, so that it may be used again. */
    public synchronized void release(long hash) {
        current.remove(hash);
        if (previous != null) {
            previous.remove(hash);
        }
    }

    /** Puts a newer table in place after a period, and deletes the tables that are no longer looked into. */
    public synchronized void maintain() {
        if (nanoTime.getAsLong() - openedNanos < periodMs.getAsLong() * NANOS_PER_MS) {
            return;
        }
        try {
            if (!current.isClosed()) {
                createTable(currentNumber + 1);
            }
            openNewest();
            for (Path old : tableFiles().headMap(currentNumber - 1).values()) {
                Files.deleteIfExists(old);
            }
        } catch (IOException e) {
            rateLimitedLogger.warn("cannot replace the table of request ids: " + e);
        }
    }

    /** Puts an empty table in place, unless another process has done so. */
    private void createTable(long number) throws IOException {
        Path unpublished = directory.resolve(
                filePrefix + ProcessHandle.current().pid() + '-' + System.identityHashCode(this) + ".next");
        try {
            MappedHashTable.create(unpublished);
            Files.createLink(directory.resolve(filePrefix + number + FILE_SUFFIX), unpublished);
        } catch (FileAlreadyExistsException e) {
            // Another process has created this table.
        } finally {
            Files.deleteIfExists(unpublished);
        }
    }

    private void openNewest() throws IOException {
        TreeMap<Long, Path> files = tableFiles();
        if (files.isEmpty()) {
            throw new IOException("the tables of request ids are gone from " + directory);
        }
        MappedHashTable newest = MappedHashTable.open(files.lastEntry().getValue());
        Path fileBefore = files.get(files.lastKey() - 1);
        MappedHashTable before = fileBefore == null ? null : MappedHashTable.open(fileBefore);
        if (before != null) {
            before.close();
        }
        currentNumber = files.lastKey();
        current = newest;
        previous = before;
        openedNanos = nanoTime.getAsLong();
    }

    private TreeMap<Long, Path> tableFiles() throws IOException {
        TreeMap<Long, Path> files = new TreeMap<>();
        try (DirectoryStream<Path> tables = Files.newDirectoryStream(directory, filePrefix + '*' + FILE_SUFFIX)) {
            for (Path file : tables) {
                String name = file.getFileName().toString();
                String number = name.substring(filePrefix.length(), name.length() - FILE_SUFFIX.length());
                if (number.matches("[0-9]{1,18}")) {
                    files.put(Long.valueOf(number), file);
                }
            }
        }
        return files;
    }
}
