package maplespread.registry.client;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.TimeUnit;
import maplespread.log.Event;

/** A token in a file, read anew when the file has changed. The token itself is never logged. */
final class TokenFile {
    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private final Path file; // null: no token is needed
    private FileTime readOf;
    private long lookedAt;
    private String token = "";

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
        long now = System.nanoTime();
        if (file == null || readOf != null && now - lookedAt < LOOK_NANOS) {
            return false;
        }
        lookedAt = now;
        try {
            FileTime at = Files.getLastModifiedTime(file);
            String text = at.equals(readOf) ? token : Files.readString(file).strip();
            readOf = at;
            if (text.equals(token)) {
                return false;
            }
            if (!text.matches("[!-~]+")) { // it is to stand in a header
                Event.of("registry.token_unusable", "file", file).warn();
                return false;
            }
            token = text;
            return true;
        } catch (IOException e) {
            // The one held goes on: a file is often absent for a moment while it is replaced.
            Event.of(
                            "registry.token_unreadable",
                            "file",
                            file,
                            "why",
                            e.getClass().getSimpleName())
                    .warn();
            readOf = FileTime.fromMillis(0);
            return false;
        }
    }
}
