package loadbalancer.testbed.capacity;

/** What hollow balancers consist of. */
enum BalancerComponent {
    ROUTING("module"),
    MEMBERSHIP("membership"),
    LEASES("duties");

    private final String key;

    BalancerComponent(String key) {
        this.key = key;
    }

    /** As {@code --parts} names it. */
    String key() {
        return key;
    }
}
