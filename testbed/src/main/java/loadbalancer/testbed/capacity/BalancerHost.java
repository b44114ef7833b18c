package loadbalancer.testbed.capacity;

import loadbalancer.membership.MemberUpdate;

/** What a hollow balancer lives on: a clock, timers and datagrams, simulated or real. */
interface BalancerHost {
    /** µs; never goes back. */
    long now();

    /** Calls {@code task} after so many µs, never at once, on the balancer's own thread. */
    void after(long delayMicros, Runnable task);

    /** Sends a datagram to the balancer of that number, or to all others where it is negative. */
    void send(int peer, byte[] data);

    /** The balancer's view has changed. */
    void onMemberUpdate(MemberUpdate update);
}
