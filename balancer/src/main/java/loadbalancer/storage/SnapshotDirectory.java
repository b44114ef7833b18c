package loadbalancer.storage;

import java.io.IOException;
import java.util.List;

/**
 * A directory for snapshots, with the operations whose order decides what survives a loss of power.
 * Names are file names without a path. Every operation may throw an {@link IOException}; after a
 * failure the state of the affected file is unknown.
 */
public interface SnapshotDirectory {
    /** Returns the names of all files. */
    List<String> list() throws IOException;

    /** Reads a file. Fails if it is longer than {@code maxBytes}. */
    byte[] read(String name, int maxBytes) throws IOException;

    /** Creates or replaces a file. A crash may lose some or all of its bytes until it is synced. */
    void write(String name, byte[] bytes) throws IOException;

    /**
     * Waits until a file's bytes are durable. After a failure the bytes must be considered lost;
     * the caller must not retry.
     */
    void sync(String name) throws IOException;

    /**
     * Renames a file, replacing any file with the new name. The rename is durable once the
     * directory is synced.
     */
    void rename(String from, String to) throws IOException;

    /** Waits until all file names are durable. */
    void syncDirectory() throws IOException;

    /** Deletes a file. A crash may undo the deletion until the directory is synced. */
    void delete(String name) throws IOException;
}
