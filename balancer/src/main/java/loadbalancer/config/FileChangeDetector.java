package loadbalancer.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Optional;

/**
 * Polls a file's attributes for a change of its content or its replacement by another file. Not
 * thread-safe: it belongs to the thread that polls.
 */
public final class FileChangeDetector {
    private final Path file;
    // Empty until the file has been seen
    private Optional<Fingerprint> lastFingerprint;

    /** What differs between two versions of a file, as far as its attributes show. */
    private record Fingerprint(Object fileKey, long sizeBytes, FileTime lastModified) {}

    /** Takes the file's present version as the one to compare with. */
    public FileChangeDetector(Path file) {
        this.file = file;
        this.lastFingerprint = fingerprint();
    }

    /**
     * Whether the file differs from the version that the last call saw. A missing file is no
     * change: while a file is being replaced there may be none for a moment.
     */
    public boolean hasChanged() {
        Optional<Fingerprint> currentFingerprint = fingerprint();
        if (currentFingerprint.isEmpty() || currentFingerprint.equals(lastFingerprint)) {
            return false;
        }
        lastFingerprint = currentFingerprint;
        return true;
    }

    // Empty where the file can't be read.
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
