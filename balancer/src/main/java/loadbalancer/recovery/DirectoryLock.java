package loadbalancer.recovery;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * An exclusive lock on a state directory, held on its file {@code lock}. The operating system
 * releases the lock when the process ends. Owned by a {@link RecoveryStore}, which closes it.
 */
final class DirectoryLock implements AutoCloseable {
    private static final String FILE_NAME = "lock";

    private final FileChannel channel;

    private DirectoryLock(FileChannel channel) {
        this.channel = channel;
    }

    /**
     * Acquires the lock of a directory without waiting.
     *
     * @throws DirectoryInUseException if the lock is already held
     * @throws IOException if the lock file can't be created or locked
     */
    static DirectoryLock acquire(Path directory) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        directory.resolve(FILE_NAME),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        DirectoryLock lock = new DirectoryLock(channel);
        try {
            if (channel.tryLock() != null) {
                return lock;
            }
            lock.close();
            throw DirectoryInUseException.byAnotherProcess(directory);
        } catch (OverlappingFileLockException e) {
            lock.close();
            throw DirectoryInUseException.byThisProcess(directory);
        } catch (IOException e) {
            lock.close();
            throw e;
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // The operating system releases the lock when the process ends.
            return;
        }
    }
}
