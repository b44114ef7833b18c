package loadbalancer.upstream;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.PeerMemory;

/**
 * Holds what the connections of one pool share: services, limits and the number of open
 * connections. Event loop thread only.
 */
final class PoolContext {
    private final EventLoop loop;
    private final LongSupplier clockMicros;
    private final EventLog events;
    private final Metrics metrics;
    private final FileDescriptorBudget descriptorBudget;
    private final PeerMemory memory;
    private final long maxIdleMicros;
    private int openConnections;

    PoolContext(
            EventLoop loop,
            LongSupplier clockMicros,
            EventLog events,
            Metrics metrics,
            FileDescriptorBudget descriptorBudget,
            PeerMemory memory,
            long maxIdleMicros) {
        this.loop = loop;
        this.clockMicros = clockMicros;
        this.events = events;
        this.metrics = metrics;
        this.descriptorBudget = descriptorBudget;
        this.memory = memory;
        this.maxIdleMicros = maxIdleMicros;
    }

    EventLoop loop() {
        return loop;
    }

    long nowMicros() {
        return clockMicros.getAsLong();
    }

    EventLog events() {
        return events;
    }

    Metrics metrics() {
        return metrics;
    }

    PeerMemory memory() {
        return memory;
    }

    /**
     * Returns the idle time in µs from which a connection is no longer used, or Long.MAX_VALUE if
     * unlimited.
     */
    long maxIdleMicros() {
        return maxIdleMicros;
    }

    boolean hasFreeDescriptor() {
        return !descriptorBudget.isExhausted();
    }

    int openConnections() {
        return openConnections;
    }

    void onConnectionOpened() {
        descriptorBudget.socketOpened();
        openConnections++;
    }

    void onConnectionClosed() {
        descriptorBudget.socketClosed();
        openConnections--;
    }
}
