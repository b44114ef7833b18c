package loadbalancer.testbed.statistics;

import java.io.IOException;
import java.nio.file.Path;

/** A directory contains no run result: it is not a run's directory, or the run has not ended. */
public final class ResultNotFoundException extends IOException {
    private static final long serialVersionUID = 1L;

    ResultNotFoundException(Path directory, String fileName) {
        super(
                directory
                        + " contains no "
                        + fileName
                        + ": it is not the directory of a completed run");
    }
}
