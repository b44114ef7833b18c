package loadbalancer.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/** Tells whether a file has been replaced or written since the last look. */
public final class FileChangeDetector {
    private final Path file;
    private String lastFingerprint;

    public FileChangeDetector(Path file) {
        this.file = file;
        this.lastFingerprint = fingerprint();
    }

    public boolean hasChanged() {
        String currentFingerprint = fingerprint();
        boolean changed =
                !currentFingerprint.isEmpty() && !currentFingerprint.equals(lastFingerprint);
        // Between two files there may be none
        lastFingerprint = currentFingerprint.isEmpty() ? lastFingerprint : currentFingerprint;
        return changed;
    }

    private String fingerprint() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return attributes.fileKey()
                    + " "
                    + attributes.size()
                    + " "
                    + attributes.lastModifiedTime();
        } catch (IOException e) {
            return "";
        }
    }
}
