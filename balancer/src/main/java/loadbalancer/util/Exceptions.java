package loadbalancer.util;

/** Handling of unexpected exceptions. Stateless; may be used on any thread. */
public final class Exceptions {
    private Exceptions() {}

    /**
     * Runs all steps, also those after a step that throws. Then throws the first exception, to
     * which the later ones are added as suppressed.
     */
    public static void runAll(Runnable... steps) {
        Throwable first = null;
        for (Runnable step : steps) {
            try {
                step.run();
            } catch (RuntimeException | Error e) {
                if (first == null) {
                    first = e;
                } else {
                    first.addSuppressed(e);
                }
            }
        }
        if (first instanceof Error error) {
            throw error;
        }
        if (first instanceof RuntimeException exception) {
            throw exception;
        }
    }

    /** Returns the exception and the place that threw it, for the log. */
    public static String describe(Throwable exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        return exception + (trace.length == 0 ? "" : " at " + trace[0]);
    }
}
