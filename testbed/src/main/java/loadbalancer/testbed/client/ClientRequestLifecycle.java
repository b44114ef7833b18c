package loadbalancer.testbed.client;

import java.util.function.Consumer;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.RunClock;

/**
 * Decides what a client does after each attempt of a request: whether it retries, after which
 * backoff and with which timeout, or how the request ends. Confined to the thread that executes the
 * run.
 */
public final class ClientRequestLifecycle {
    /** How long after a request's deadline a response still counts as received, in µs. */
    public static final long LATE_RESPONSE_SLACK_MICROS = 70_000;

    // A retry must have more than this time left after its backoff.
    private static final long MIN_RETRY_TIME_MICROS = 20_000;
    // An impatient client gives up after the deadline divided by this number.
    private static final int IMPATIENT_DEADLINE_DIVISOR = 2;

    private final Scenario scenario;
    private final RunClock clock;
    private final Consumer<ClientRequest> attemptSender;
    private final Consumer<ClientRequest> endListener;

    /**
     * Creates the object that handles all requests of a run.
     *
     * @param attemptSender sends another attempt of a request
     * @param endListener is notified of each request once, after it has ended
     */
    public ClientRequestLifecycle(
            Scenario scenario,
            RunClock clock,
            Consumer<ClientRequest> attemptSender,
            Consumer<ClientRequest> endListener) {
        this.scenario = scenario;
        this.clock = clock;
        this.attemptSender = attemptSender;
        this.endListener = endListener;
    }

    /**
     * Creates another attempt of the request and counts it. Its timeout is the time left until the
     * client gives up.
     */
    public ClientAttempt newAttempt(ClientRequest request, String attemptId) {
        request.countAttempt();
        return new ClientAttempt(attemptId, request, timeLeftMicros(request));
    }

    private long timeLeftMicros(ClientRequest request) {
        Scenario.RequestClass requestClass =
                scenario.classes().get(request.arrival().requestClass());
        long deadlineMicros = Math.round(requestClass.deadlineMs() * 1e3);
        if (request.arrival().impatient()) {
            deadlineMicros /= IMPATIENT_DEADLINE_DIVISOR;
        }
        return request.arrival().atMicros() + deadlineMicros - clock.nowMicros();
    }

    /**
     * Handles an attempt that ended without an effect. Schedules a retry if the scenario allows one
     * and enough time is left after the backoff, otherwise ends the request.
     *
     * @param outcome the outcome of the request if it is not retried
     * @param retryAfterMicros the response's Retry-After in µs, or 0 if it has none
     */
    public void retryOrEnd(
            ClientAttempt attempt, ClientRequest.Outcome outcome, long retryAfterMicros) {
        ClientRequest request = attempt.request();
        long retryBackoffMicros = Math.round(scenario.load().retryBackoffMs() * 1e3);
        long backoffMicros = Math.max(retryAfterMicros, retryBackoffMicros);
        boolean retryable =
                request.outcome() == null
                        && request.attempts() <= scenario.load().maxRetries()
                        && timeLeftMicros(request) - backoffMicros > MIN_RETRY_TIME_MICROS;
        if (retryable) {
            clock.scheduleAfter(backoffMicros, () -> attemptSender.accept(request));
        } else {
            end(request, outcome);
        }
    }

    /** Ends a request with an outcome. Has no effect on a request that has already ended. */
    public void end(ClientRequest request, ClientRequest.Outcome outcome) {
        if (request.outcome() == null) {
            request.end(outcome, clock.nowMicros());
            endListener.accept(request);
        }
    }
}
