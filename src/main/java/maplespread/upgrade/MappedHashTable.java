package maplespread.upgrade;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;

/**
 * A bounded set of 64-bit hashes in a file that several processes map into memory. Every operation is a few atomic
 * memory accesses, so a process that is stopped or killed at any point holds up no other one. A table is closed when a
 * newer table replaces it; closing tells the processes that still add to it, and does not prevent an addition.
 */
final class MappedHashTable {
    /** The result of an addition. */
    enum Addition {
        ADDED,
        PRESENT,
        /** The table has no room for another hash. */
        FULL
    }

    /** Maximum number of hashes in a table: three quarters of its slots. */
    static final int MAX_HASHES = 192 * 1024;

    private static final int SLOTS = 256 * 1024;
    private static final int HEADER_LONGS = 8;
    private static final int FILE_BYTES = (HEADER_LONGS + SLOTS) * Long.BYTES;
    private static final long FORMAT = 0x6d61706c65696431L;

    private static final int FORMAT_AT = 0;
    private static final int SALT_AT = 1;
    private static final int CLOSED_AT = 2;
    private static final int COUNT_AT = 3;

    private static final long EMPTY = 0;
    private static final long REMOVED = 1;
    /** Added to a hash that equals one of the reserved values. */
    private static final long RESERVED_VALUES = 2;

    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer memory;
    private final long salt;

    private MappedHashTable(ByteBuffer memory) {
        this.memory = memory;
        salt = read(SALT_AT);
    }

    /** Writes an empty table to a new file. */
    static void create(Path file) throws IOException {
        ByteBuffer content = ByteBuffer.allocate(FILE_BYTES).order(ByteOrder.nativeOrder());
        content.putLong(FORMAT_AT * Long.BYTES, FORMAT);
        content.putLong(SALT_AT * Long.BYTES, new SecureRandom().nextLong());
        Files.write(file, content.array(), StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING);
    }

    /** Maps a table that {@link #create} has written completely. */
    static MappedHashTable open(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            if (channel.size() != FILE_BYTES) {
                throw new IOException(file.getFileName() + " has " + channel.size() + " bytes, not " + FILE_BYTES);
            }
            ByteBuffer mapped = channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES);
            MappedHashTable table = new MappedHashTable(mapped);
            if (table.read(FORMAT_AT) != FORMAT) {
                throw new IOException(file.getFileName() + " is not a table of this format");
            }
            return table;
        }
    }

    private long read(int index) {
        return (long) LONGS.getVolatile(memory, index * Long.BYTES);
    }

    void close() {
        LONGS.setVolatile(memory, CLOSED_AT * Long.BYTES, 1L);
    }

    boolean isClosed() {
        return read(CLOSED_AT) != 0;
    }

    /** Adds a hash; of several processes that add the same one, exactly one has it added. */
    Addition add(long hash) {
        long value = storable(hash);
        for (int probe = 0; probe < SLOTS; probe++) {
            int index = slotIndex(value, probe);
            long held = read(index);
            if (held == EMPTY) {
                if (read(COUNT_AT) >= MAX_HASHES) {
                    return Addition.FULL;
                }
                held = (long) LONGS.compareAndExchange(memory, index * Long.BYTES, EMPTY, value);
                if (held == EMPTY) {
                    LONGS.getAndAdd(memory, COUNT_AT * Long.BYTES, 1L);
                    return Addition.ADDED;
                }
            }
            if (held == value) {
                return Addition.PRESENT;
            }
        }
        return Addition.FULL;
    }

    boolean contains(long hash) {
        return find(storable(hash)) >= 0;
    }

    /** Removes a hash, whose slot is not used again: another process may be adding the same hash behind it. */
    void remove(long hash) {
        long value = storable(hash);
        int index = find(value);
        if (index >= 0) {
            LONGS.compareAndSet(memory, index * Long.BYTES, value, REMOVED);
        }
    }

    private int find(long value) {
        for (int probe = 0; probe < SLOTS; probe++) {
            int index = slotIndex(value, probe);
            long held = read(index);
            if (held == value) {
                return index;
            }
            if (held == EMPTY) {
                return -1;
            }
        }
        return -1;
    }

    private static long storable(long hash) {
        return hash == EMPTY || hash == REMOVED ? hash + RESERVED_VALUES : hash;
    }

    /** The salt keeps clients from choosing ids that share their slots. */
    private int slotIndex(long value, int probe) {
        long mixed = (value ^ salt) * 0x9e3779b97f4a7c15L;
        return HEADER_LONGS + (int) ((mixed >>> 32) + probe & SLOTS - 1);
    }
}
