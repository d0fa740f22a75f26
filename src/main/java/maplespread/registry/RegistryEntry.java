package maplespread.registry;

import java.util.function.Supplier;

/**
 * One key as the registry holds it: its text, and the revision of its last change. A null text: deleted at
 * that revision. The text is made when it is first needed, since most keys of a whole answer are old news.
 */
public final class RegistryEntry {
    private final String key;
    private final long revision;
    private final boolean deleted;
    private final int valueHash;
    private Supplier<String> source;
    private String value;

    private RegistryEntry(String key, long revision, boolean deleted, int print, Supplier<String> source) {
        this.key = key;
        this.revision = revision;
        this.deleted = deleted;
        this.valueHash = print;
        this.source = source;
    }

    public static RegistryEntry of(String key, String text, long revision) {
        return new RegistryEntry(key, revision, false, text.hashCode(), () -> text);
    }

    /**
     * {@code text} may fail with any runtime exception: the value is then one that cannot be read. {@code
     * print}: a hash of the value as it came, the same whenever the value is.
     */
    public static RegistryEntry lazy(String key, long revision, int print, Supplier<String> text) {
        return new RegistryEntry(key, revision, false, print, text);
    }

    public static RegistryEntry deleted(String key, long revision) {
        return new RegistryEntry(key, revision, true, 0, null);
    }

    public String key() {
        return key;
    }

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
