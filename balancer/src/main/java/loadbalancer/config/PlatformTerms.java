package loadbalancer.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReportSource;

/**
 * Translates between the platform's terms, in its configuration and in discovery's lists, and the
 * constants of the code. The platform defines its terms, so the texts must not change, whatever the
 * constants are called. Stateless.
 */
public final class PlatformTerms {
    /** Values of the setting {@code MembershipMode}, in upper case. */
    static final Map<String, DiscoveryMode> DISCOVERY_MODES =
            Map.of("PUSH", DiscoveryMode.PUSH, "ASK", DiscoveryMode.POLL);

    /** Values of the setting {@code Stats.How}, in upper case. */
    static final Map<String, LoadReportSource> LOAD_REPORT_SOURCES =
            Map.of(
                    "ANSWERS",
                    LoadReportSource.RESPONSES,
                    "PROBE",
                    LoadReportSource.HEALTH_CHECKS,
                    "NONE",
                    LoadReportSource.NONE);

    /** Values of the setting {@code Classes.N.Idempotency}, in upper case. */
    static final Map<String, Idempotency> IDEMPOTENCY =
            Map.of(
                    "SAFE",
                    Idempotency.IDEMPOTENT,
                    "KEYED",
                    Idempotency.IDEMPOTENCY_KEY,
                    "UNSAFE",
                    Idempotency.NON_IDEMPOTENT);

    /** Values of the setting {@code Classes.N.DedupScope}, in upper case. */
    static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
            Map.of(
                    "ALL",
                    DeduplicationScope.ALL,
                    "ZONE",
                    DeduplicationScope.ZONE,
                    "CELL",
                    DeduplicationScope.CELL);

    private static final String IN_SERVICE = "in_service";
    private static final String TERMINATING = "terminating";
    private static final String TERMINATED = "terminated";
    private static final Map<String, EndpointStatus> ENDPOINT_STATUSES =
            Map.of(
                    IN_SERVICE,
                    EndpointStatus.UP,
                    TERMINATING,
                    EndpointStatus.DRAINING,
                    TERMINATED,
                    EndpointStatus.REMOVED);

    private PlatformTerms() {}

    /** Returns the status for the field {@code state} of a list entry; empty if it is unknown. */
    static Optional<EndpointStatus> endpointStatus(String term) {
        return Optional.ofNullable(ENDPOINT_STATUSES.get(term));
    }

    /** Returns the value of the field {@code state} for a status. */
    static String endpointStatusTerm(EndpointStatus status) {
        return switch (status) {
            case UP -> IN_SERVICE;
            case DRAINING -> TERMINATING;
            case REMOVED -> TERMINATED;
        };
    }

    /**
     * Returns a name as the platform writes it in settings: with underscores instead of spaces and
     * commas, which separate values there. Names from other sources (headers, endpoint lists) are
     * compared in this form.
     */
    public static String normalizeName(Object name) {
        return String.valueOf(name).replace(' ', '_').replace(',', '_');
    }

    /** Returns the index of {@code name} in {@code normalizedNames}, or -1 if it is missing. */
    static int indexOfName(List<String> normalizedNames, Object name) {
        return normalizedNames.indexOf(normalizeName(name));
    }
}
