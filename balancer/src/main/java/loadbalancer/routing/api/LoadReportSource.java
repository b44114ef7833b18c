package loadbalancer.routing.api;

/** What carries the load reports of endpoints. */
public enum LoadReportSource {
    /** Each response. */
    RESPONSES,
    /** The results of health checks. */
    HEALTH_CHECKS,
    /** Nothing: there are no reports. */
    NONE
}
