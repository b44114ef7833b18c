package loadbalancer.testbed.scenario;

/**
 * Thrown if a scenario is invalid. The message is one line with the file, the location in it and
 * the problem.
 */
public final class InvalidScenarioException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param file the name of the scenario file
     * @param location the invalid field, for example {@code fault[0].at_s}; empty if the problem
     *     concerns the whole file
     * @param problem what is wrong
     */
    public InvalidScenarioException(String file, String location, String problem) {
        super(file + ": " + (location.isEmpty() ? "" : location + ": ") + problem);
    }
}
