package loadbalancer.testbed.client;

import java.util.function.Consumer;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.RunClock;

/**
 * What a client does between the attempts of a request: how much time is left, whether it retries
 * and after which backoff, and how the request ends. Confined to the thread that plays the run.
 */
public final class ClientRequestLifecycle {
    /** How long after its deadline a response still counts as received, in µs. */
    public static final long LATE_RESPONSE_SLACK_MICROS = 70_000;

    private static final long MIN_RETRY_TIME_MICROS = 20_000;
    // An impatient client gives up after this part of its deadline.
    private static final int IMPATIENT_DEADLINE_DIVISOR = 2;

    private final Scenario scenario;
    private final RunClock clock;
    private final Consumer<ClientRequest> attemptSender;
    private final Consumer<ClientRequest> endListener;

    /**
     * Creates the lifecycle of all requests of a run.
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

    /** Counts another attempt of the request and returns it; its timeout is the time left. */
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
     * An attempt ended without an effect: schedules a retry if the scenario allows one and enough
     * time is left after the backoff, otherwise ends the request.
     *
     * @param outcome how the request ends if it is not retried
     * @param retryAfterMicros the response's Retry-After in µs; 0: none
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

    /** Ends a request; no effect if it has ended. */
    public void end(ClientRequest request, ClientRequest.Outcome outcome) {
        if (request.outcome() == null) {
            request.outcome(outcome, clock.nowMicros());
            endListener.accept(request);
        }
    }
}
