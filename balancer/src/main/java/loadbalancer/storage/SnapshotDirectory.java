package loadbalancer.storage;

import java.io.IOException;
import java.util.List;

/**
 * A directory, with the few operations whose order decides what survives a loss of power. Names are
 * plain file names in it. Every operation may throw an {@link IOException}; after a failure the
 * state of the file concerned is unknown.
 */
public interface SnapshotDirectory {
    /** Names of all files. */
    List<String> list() throws IOException;

    /** Reads a file; fails if it is longer than {@code maxBytes}. */
    byte[] read(String name, int maxBytes) throws IOException;

    /** Creates or replaces a file; until it is synced its bytes may be lost, wholly or in part. */
    void write(String name, byte[] bytes) throws IOException;

    /** Returns once a file's bytes are durable. After a failure they count as lost: no retry. */
    void sync(String name) throws IOException;

    /** Renames a file, replacing one of the new name; durable once the directory is synced. */
    void rename(String from, String to) throws IOException;

    /** Returns once all names are durable. */
    void syncDirectory() throws IOException;

    /** Deletes a file; a crash may undo it until the directory is synced. */
    void delete(String name) throws IOException;
}
