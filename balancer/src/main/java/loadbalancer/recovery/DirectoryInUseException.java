package loadbalancer.recovery;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when the lock of a state directory is already held by another or by this process. */
final class DirectoryInUseException extends IOException {
    private static final long serialVersionUID = 1L;

    private DirectoryInUseException(String message) {
        super(message);
    }

    static DirectoryInUseException byAnotherProcess(Path directory) {
        return new DirectoryInUseException(directory + " is locked by another process");
    }

    static DirectoryInUseException byThisProcess(Path directory) {
        return new DirectoryInUseException(directory + " is locked by this process");
    }
}
