package loadbalancer.testbed.capacity;

/** Names the components that a hollow balancer may have. */
enum BalancerComponent {
    /** The routing policy. */
    ROUTING("module"),
    /** The membership protocol of the fleet. */
    MEMBERSHIP("membership"),
    /** Leases that a majority of the members grants. */
    LEASES("duties");

    private final String key;

    BalancerComponent(String key) {
        this.key = key;
    }

    /** Returns the name in the option {@code --parts}. */
    String key() {
        return key;
    }
}
