package loadbalancer.testbed.capacity;

import loadbalancer.membership.MemberUpdate;

/**
 * Provides a hollow balancer with a clock, timers and a datagram network, simulated or real. Used
 * on the balancer's thread.
 */
interface BalancerHost {
    /** Returns the monotonic time, µs. */
    long now();

    /** Runs {@code task} on the balancer's thread after a delay in µs, never within this call. */
    void runAfter(long delayMicros, Runnable task);

    /**
     * Sends a datagram to the balancer {@code peer}, or to all others if {@code peer} is negative.
     */
    void send(int peer, byte[] data);

    /** Handles a change of the balancer's view of the membership. */
    void onMemberUpdate(MemberUpdate update);
}
