package loadbalancer.simulator;

import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;

/** The vocabulary of the simulator's wire, and the terms that the code has for it. Stateless. */
final class WireTerms {
    /** Field {@code How} of SYNC. */
    static final Map<String, EndpointListKind> LIST_KINDS =
            Map.of(
                    "Persisted",
                    EndpointListKind.CACHED,
                    "Complete",
                    EndpointListKind.COMPLETE,
                    "Partial",
                    EndpointListKind.DELTA,
                    "Error",
                    EndpointListKind.FAILED);

    /** Field {@code StageState} of ITEM. */
    static final Map<String, EndpointStatus> ENDPOINT_STATUSES =
            Map.of(
                    "U",
                    EndpointStatus.UP,
                    "L",
                    EndpointStatus.DRAINING,
                    "D",
                    EndpointStatus.REMOVED);

    /** Field {@code Rc} of RESPONSE and PROBE_RESULT. */
    static final Map<String, AttemptOutcome> OUTCOMES =
            Map.of(
                    "200",
                    AttemptOutcome.OK,
                    "502",
                    AttemptOutcome.ERROR,
                    "429",
                    AttemptOutcome.REJECTED,
                    "408",
                    AttemptOutcome.TIMEOUT,
                    "521",
                    AttemptOutcome.CONNECT_FAILED,
                    "520",
                    AttemptOutcome.RESET,
                    "444",
                    AttemptOutcome.CANCELLED,
                    "409",
                    AttemptOutcome.NOT_SENT);

    /** The one timer of a policy, as SLEEP names it and DUE returns it. */
    static final String TIMER_NONCE = "wake";

    private WireTerms() {}
}
