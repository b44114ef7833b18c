package loadbalancer.routing.api;

/** When servers report their load. */
public enum LoadReportSource {
    RESPONSES,
    HEALTH_CHECKS,
    NONE
}
