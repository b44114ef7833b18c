package loadbalancer.routing.api;

/** The messages that contain the load reports of endpoints. */
public enum LoadReportSource {
    /** Each response contains a report. */
    RESPONSES,
    /** The responses to health checks contain reports. */
    HEALTH_CHECKS,
    /** There are no reports. */
    NONE
}
