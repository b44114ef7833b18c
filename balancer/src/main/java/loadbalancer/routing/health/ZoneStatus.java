package loadbalancer.routing.health;

/** States how this balancer uses a zone. The names are part of log lines. */
enum ZoneStatus {
    /** The zone is used without restriction. */
    HEALTHY,
    /** The zone is used, but most of its observed endpoints are unresponsive. */
    SUSPECT,
    /** The zone is used only for probes. */
    FAILED_OVER,
    /** The zone is used for a growing fraction of the requests. */
    RECOVERING
}
