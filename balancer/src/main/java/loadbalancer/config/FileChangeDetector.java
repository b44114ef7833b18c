package loadbalancer.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Optional;

/**
 * Polls the attributes of a file to detect that its content changed or that another file replaced
 * it. Not thread-safe; confined to the thread that polls.
 */
public final class FileChangeDetector {
    private final Path file;
    // Empty until the file has been read successfully.
    private Optional<Fingerprint> lastFingerprint;

    /** Attributes that identify a version of a file. */
    private record Fingerprint(Object fileKey, long sizeBytes, FileTime lastModified) {}

    /** Creates a detector that compares with the current version of the file. */
    public FileChangeDetector(Path file) {
        this.file = file;
        this.lastFingerprint = fingerprint();
    }

    /**
     * Returns whether the file differs from the version at the last call. A missing file is not a
     * change, since the file may be missing briefly while it is being replaced.
     */
    public boolean hasChanged() {
        Optional<Fingerprint> currentFingerprint = fingerprint();
        if (currentFingerprint.isEmpty() || currentFingerprint.equals(lastFingerprint)) {
            return false;
        }
        lastFingerprint = currentFingerprint;
        return true;
    }

    // Returns empty if the attributes can't be read.
    private Optional<Fingerprint> fingerprint() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return Optional.of(
                    new Fingerprint(
                            attributes.fileKey(),
                            attributes.size(),
                            attributes.lastModifiedTime()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
