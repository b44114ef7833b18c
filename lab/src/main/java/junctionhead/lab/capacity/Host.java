package junctionhead.lab.capacity;

import junctionhead.membership.News;

/** What a hollow balancer lives on: a clock, timers and datagrams, simulated or real. */
interface Host {
    /** µs; never goes back. */
    long now();

    /** Calls {@code what} after so many µs, never at once, on the balancer's own thread. */
    void after(long delay, Runnable what);

    /** Sends a datagram to the balancer of that number, or to all others where it is negative. */
    void tell(int peer, byte[] data);

    /** The balancer's view has changed. */
    void seen(News news);
}
