package loadbalancer.routing.api;

/** Checks of what a balancer's settings may hold. */
final class SettingsValidation {
    private SettingsValidation() {}

    /**
     * Fails unless a setting holds a possible value.
     *
     * @throws IllegalArgumentException naming the setting and its value
     */
    static void require(boolean holds, String name, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("impossible " + name + ": " + value);
        }
    }
}
