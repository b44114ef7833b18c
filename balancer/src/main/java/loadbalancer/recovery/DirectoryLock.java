package loadbalancer.recovery;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Exclusive ownership of a state directory by a lock on its file {@code lock}; the system releases
 * it when the process ends. Owned by a {@link RecoveryStore}, which closes it.
 */
final class DirectoryLock implements AutoCloseable {
    private static final String FILE_NAME = "lock";

    private final FileChannel channel;

    private DirectoryLock(FileChannel channel) {
        this.channel = channel;
    }

    /**
     * Takes the lock of a directory, without waiting for it.
     *
     * @throws DirectoryInUseException if it is held
     * @throws IOException if the file can't be created or locked
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
            // The lock is released with the process at the latest.
            return;
        }
    }
}
