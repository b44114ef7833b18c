package loadbalancer.testbed.endpointmodel;

/** One attempt at a server: identity counts, not content. */
public final class Job {
    private final int requestClass;
    private final long workMicros;
    private final long sequence;
    private long endsAtMicros = -1;

    /**
     * Makes a job.
     *
     * @param workMicros µs that a core of speed 1 takes
     * @param sequence orders jobs that end at one time
     */
    public Job(int requestClass, long workMicros, long sequence) {
        this.requestClass = requestClass;
        this.workMicros = workMicros;
        this.sequence = sequence;
    }

    public int requestClass() {
        return requestClass;
    }

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
