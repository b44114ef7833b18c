package loadbalancer.storage;

import java.io.IOException;
import java.util.List;

/**
 * One folder, with the few operations whose order decides what survives: a real one, or one that
 * tests let fail at any point. Names are plain file names in the folder.
 */
public interface SnapshotDirectory {
    /** Names of all files. */
    List<String> list() throws IOException;

    /** A file's bytes, at most so many: one that is longer is an error. */
    byte[] read(String name, int maxBytes) throws IOException;

    /** Makes or replaces a file; what was written may be lost, in part too, until it is synced. */
    void write(String name, byte[] bytes) throws IOException;

    /**
     * Returns when a file's bytes are safe. A failure means that they are lost, and is not tried
     * again.
     */
    void sync(String name) throws IOException;

    /**
     * Gives a file another name, in place of one that has it; may be lost until the folder is
     * synced.
     */
    void rename(String from, String to) throws IOException;

    /** Returns when all names are safe. */
    void syncDirectory() throws IOException;

    /** Removes a file; may be undone by a crash until the folder is synced. */
    void delete(String name) throws IOException;
}
