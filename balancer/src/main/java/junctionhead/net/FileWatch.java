package junctionhead.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/** Tells whether a file has been replaced or written since the last look. */
final class FileWatch {
    private final Path file;
    private String seen;

    FileWatch(Path file) {
        this.file = file;
        this.seen = look();
    }

    boolean changed() {
        String now = look();
        boolean changed = !now.isEmpty() && !now.equals(seen);
        // Between two files there may be none
        seen = now.isEmpty() ? seen : now;
        return changed;
    }

    private String look() {
        try {
            BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
            return a.fileKey() + " " + a.size() + " " + a.lastModifiedTime();
        } catch (IOException e) {
            return "";
        }
    }
}
