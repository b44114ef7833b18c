package loadbalancer.recovery;

import java.io.IOException;
import java.nio.file.Path;

/** The lock of a state directory is held, by another process or elsewhere in this one. */
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
