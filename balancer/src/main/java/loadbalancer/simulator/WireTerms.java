package loadbalancer.simulator;

import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;

/** Maps terms of the simulator's wire protocol to the constants of the routing API. Stateless. */
final class WireTerms {
    /** Terms of the field {@code How} of SYNC. */
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

    /** Terms of the field {@code StageState} of ITEM. */
    static final Map<String, EndpointStatus> ENDPOINT_STATUSES =
            Map.of(
                    "U",
                    EndpointStatus.UP,
                    "L",
                    EndpointStatus.DRAINING,
                    "D",
                    EndpointStatus.REMOVED);

    /** Terms of the field {@code Rc} of RESPONSE and PROBE_RESULT. */
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

    /** The nonce of a policy's only timer. SLEEP contains it and DUE returns it. */
    static final String TIMER_NONCE = "wake";

    private WireTerms() {}
}
