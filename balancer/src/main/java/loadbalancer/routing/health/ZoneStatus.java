package loadbalancer.routing.health;

/** How this balancer uses a zone. The names are part of log lines. */
enum ZoneStatus {
    /** Used as any other. */
    HEALTHY,
    /** Used, but most of its endpoints seem unresponsive. */
    SUSPECT,
    /** Not used but for probes. */
    FAILED_OVER,
    /** Used for a growing part of the requests. */
    RECOVERING
}
