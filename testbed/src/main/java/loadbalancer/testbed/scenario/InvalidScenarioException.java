package loadbalancer.testbed.scenario;

/** What is wrong with a scenario, in one line that names the file and the place in it. */
public final class InvalidScenarioException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidScenarioException(String file, String location, String problem) {
        super(file + ": " + (location.isEmpty() ? "" : location + ": ") + problem);
    }
}
