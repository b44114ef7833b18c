package loadbalancer.testbed.capacity;

/** A component of hollow balancers. */
enum BalancerComponent {
    /** The routing policy. */
    ROUTING("module"),
    /** Membership of the fleet. */
    MEMBERSHIP("membership"),
    /** Leases by majority of the members. */
    LEASES("duties");

    private final String key;

    BalancerComponent(String key) {
        this.key = key;
    }

    /** The name in the option {@code --parts}. */
    String key() {
        return key;
    }
}
