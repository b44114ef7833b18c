package loadbalancer.routing.health;

/** What a zone is to this balancer. */
enum ZoneStatus {
    HEALTHY,
    SUSPECT,
    FAILED_OVER,
    RECOVERING
}
