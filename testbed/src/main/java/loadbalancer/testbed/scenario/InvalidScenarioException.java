package loadbalancer.testbed.scenario;

/** A scenario is invalid. The message is one line with the file, the location in it and why. */
public final class InvalidScenarioException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param location field of the scenario, for example {@code fault[0].at_s}; empty: the file
     */
    public InvalidScenarioException(String file, String location, String problem) {
        super(file + ": " + (location.isEmpty() ? "" : location + ": ") + problem);
    }
}
