package loadbalancer.testbed.capacity;

import loadbalancer.membership.MemberUpdate;

/**
 * What a hollow balancer runs on: a clock, timers and a network of datagrams, simulated or real.
 * Used on the balancer's thread.
 */
interface BalancerHost {
    /** The monotonic time in µs. */
    long now();

    /** Calls {@code task} on the balancer's thread after so many µs, never within this call. */
    void after(long delayMicros, Runnable task);

    /** Sends a datagram to the balancer {@code peer}, or to all others if that is negative. */
    void send(int peer, byte[] data);

    /** Called when the balancer's view of the membership has changed. */
    void onMemberUpdate(MemberUpdate update);
}
