package maplespread.registry.client;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import maplespread.log.Event;

/** A token in a file, read anew when the file has changed. The token itself is never logged. Thread-safe. */
final class TokenFile {
    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** What may stand in a header field. */
    private static final Pattern USABLE = Pattern.compile("[!-~]+");

    private static final FileTime NOT_READ = FileTime.fromMillis(0);

    private final Path file; // null: no token is needed
    private FileTime modifiedAt; // of the content that was read; null: none was
    private long checkedAtNanos;
    private String token = "";

    /** {@code file}: its path; empty where no token is needed. */
    TokenFile(String file) {
        this.file = file.isEmpty() ? null : Path.of(file);
    }

    /** The token; empty where there is none. */
    synchronized String token() {
        changed();
        return token;
    }

    /** Whether it has changed since it was last asked for; looks at the file a few times a second at most. */
    synchronized boolean changed() {
        long nowNanos = System.nanoTime();
        if (file == null || modifiedAt != null && nowNanos - checkedAtNanos < CHECK_INTERVAL_NANOS) {
            return false;
        }
        checkedAtNanos = nowNanos;
        try {
            FileTime modified = Files.getLastModifiedTime(file);
            String content =
                    modified.equals(modifiedAt) ? token : Files.readString(file).strip();
            modifiedAt = modified;
            if (content.equals(token)) {
                return false;
            }
            if (!USABLE.matcher(content).matches()) {
                Event.of("registry.token_unusable", "file", file).warn();
                return false;
            }
            token = content;
            return true;
        } catch (IOException e) {
            // The token held is used on: a file is often absent for a moment while it is replaced.
            Event.of(
                            "registry.token_unreadable",
                            "file",
                            file,
                            "why",
                            e.getClass().getSimpleName())
                    .warn();
            modifiedAt = NOT_READ;
            return false;
        }
    }
}
