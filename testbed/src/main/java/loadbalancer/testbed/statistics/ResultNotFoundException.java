package loadbalancer.testbed.statistics;

import java.io.IOException;
import java.nio.file.Path;

/** A directory holds no result of a run: it is another directory, or the run has not ended. */
public final class ResultNotFoundException extends IOException {
    private static final long serialVersionUID = 1L;

    ResultNotFoundException(Path directory, String fileName) {
        super(directory + " holds no " + fileName + ": it is no folder of a run that ended");
    }
}
