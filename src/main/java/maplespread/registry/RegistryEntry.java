package maplespread.registry;

import java.util.function.Supplier;

/**
 * One key as the registry holds it: its value and the revision of its last change, or its deletion at that
 * revision. The value is decoded when it is first asked for, since most keys of a full snapshot have not changed.
 * Not thread-safe.
 */
public final class RegistryEntry {
    private final String key;
    private final long revision;
    private final boolean deleted;
    private final int valueHash;
    private Supplier<String> source; // null once the value is decoded
    private String value;

    private RegistryEntry(String key, long revision, boolean deleted, int valueHash, Supplier<String> source) {
        this.key = key;
        this.revision = revision;
        this.deleted = deleted;
        this.valueHash = valueHash;
        this.source = source;
    }

    /** An entry with a value that is decoded already. */
    public static RegistryEntry of(String key, String value, long revision) {
        return new RegistryEntry(key, revision, false, value.hashCode(), () -> value);
    }

    /**
     * An entry whose value is decoded later. {@code valueHash}: of the value as it came, the same whenever the
     * value is; {@code value}: may throw any runtime exception where the value cannot be decoded.
     */
    public static RegistryEntry lazy(String key, long revision, int valueHash, Supplier<String> value) {
        return new RegistryEntry(key, revision, false, valueHash, value);
    }

    /** A key that was deleted at the revision. */
    public static RegistryEntry deleted(String key, long revision) {
        return new RegistryEntry(key, revision, true, 0, null);
    }

    /** The whole key. */
    public String key() {
        return key;
    }

    /** The number of the revision that changed it last. */
    public long revision() {
        return revision;
    }

    public boolean isDeleted() {
        return deleted;
    }

    /** A hash of the value, had without decoding it. */
    public int valueHash() {
        return valueHash;
    }

    /** The value; null where the key was deleted. Any runtime exception: it cannot be decoded. */
    public String value() {
        if (source != null) {
            value = source.get();
            source = null;
        }
        return value;
    }

    @Override
    public String toString() {
        return key + '@' + revision + (deleted ? " deleted" : "");
    }
}
