package loadbalancer.testbed.endpointmodel;

/** One request at an upstream, compared by identity. Not thread-safe. */
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
     * @param sequence orders jobs that complete at the same time
     */
    public Job(int requestClass, long workMicros, long sequence) {
        this.requestClass = requestClass;
        this.workMicros = workMicros;
        this.sequence = sequence;
    }

    /** Position in the scenario's classes. */
    public int requestClass() {
        return requestClass;
    }

    /** Service time in µs at speed 1. */
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
