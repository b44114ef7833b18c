package loadbalancer.testbed.endpointmodel;

/** A request at an upstream. Jobs are compared by identity. Not thread-safe. */
public final class Job {
    private final int requestClass;
    private final long workMicros;
    private final long sequence;
    private long endsAtMicros = -1;

    /**
     * Creates a job.
     *
     * @param requestClass position in the scenario's classes
     * @param workMicros service time in µs at speed 1
     * @param sequence number that orders jobs with the same completion time
     */
    public Job(int requestClass, long workMicros, long sequence) {
        this.requestClass = requestClass;
        this.workMicros = workMicros;
        this.sequence = sequence;
    }

    /** Returns the position of the request's class in the scenario's classes. */
    public int requestClass() {
        return requestClass;
    }

    /** Returns the service time in µs at speed 1. */
    public long workMicros() {
        return workMicros;
    }

    long sequence() {
        return sequence;
    }

    long endsAtMicros() {
        return endsAtMicros;
    }

    void endsAtMicros(long timeMicros) {
        endsAtMicros = timeMicros;
    }
}
