package loadbalancer.discovery;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.EndpointListKind;

/**
 * Gets endpoint lists from discovery, by watches and polls. In push mode ({@link
 * DiscoveryMode#PUSH}) it always keeps a watch open and opens the next one when a watch ends:
 * immediately after a watch that worked, otherwise after a backoff. In poll mode ({@link
 * DiscoveryMode#POLL}) it polls and watches only when the routing policy requests it, and reports
 * each failure to the policy.
 *
 * <p>Its state is the address of discovery, the revision of the newest list received, and the
 * active watch, if any. The constructor may be called on any thread; all methods must be called on
 * the event loop.
 */
public final class DiscoveryClient {
    private final EventLoop loop;
    private final BootSettings boot;
    private final EndpointListListener listener;
    private final Consumer<String> log;
    private final boolean pushMode;
    private final DiscoveryTiming timing;
    private InetSocketAddress address;
    private long revision;
    // Null while no watch is open.
    private DiscoveryCall activeWatch;

    /**
     * Creates a client that sends nothing until it is started or asked for a list.
     *
     * @param loop the event loop that the client is confined to
     * @param address the address of discovery
     * @param boot the platform's settings
     * @param revision the revision of the list that the balancer already has, from which a watch
     *     starts
     * @param listener receives lists and, in poll mode, failures
     * @param log receives log lines about lists that can't be decoded
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            BootSettings boot,
            long revision,
            EndpointListListener listener,
            Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.boot = boot;
        this.revision = revision;
        this.listener = listener;
        this.log = log;
        this.pushMode = boot.settings().discoveryMode() == DiscoveryMode.PUSH;
        this.timing = DiscoveryTiming.of(boot);
    }

    /** Opens the watch in push mode. In poll mode it does nothing. */
    public void start() {
        if (pushMode) {
            setWatching(true);
        }
    }

    /**
     * Uses another address of discovery from now on. An active watch is replaced by a watch at the
     * new address, starting from the newest revision received.
     */
    public void reconnectTo(InetSocketAddress newAddress) {
        address = newAddress;
        if (activeWatch != null) {
            setWatching(true);
        }
    }

    /** Opens a watch that replaces the active one, or closes the active watch. */
    public void setWatching(boolean enabled) {
        DiscoveryCall previous = activeWatch;
        activeWatch = enabled ? DiscoveryCall.watch(this, loop, timing, address, revision) : null;
        if (previous != null) {
            previous.cancel();
        }
        if (enabled) {
            activeWatch.open();
        }
    }

    /** Requests the whole list once. */
    public void fetchList() {
        DiscoveryCall.poll(this, loop, timing, address).open();
    }

    /** Returns the current address of discovery. */
    InetSocketAddress address() {
        return address;
    }

    BootSettings bootSettings() {
        return boot;
    }

    /** Returns a list that holds no changes since the newest revision received. */
    EndpointList unchangedList() {
        return new EndpointList(revision, false, List.of());
    }

    /** Returns whether a list is older than the newest one received. */
    boolean isOutdated(EndpointList endpointList) {
        return endpointList.revision() < revision;
    }

    /** Handles a list that a call has received. */
    void onEndpointList(EndpointList endpointList) {
        revision = endpointList.revision();
        EndpointListKind kind =
                endpointList.complete() ? EndpointListKind.COMPLETE : EndpointListKind.DELTA;
        listener.onEndpointListUpdate(kind, endpointList);
    }

    void logInvalidList(String problem) {
        log.accept("endpoint list undecodable: reason=" + problem);
    }

    /**
     * Handles the end of a call that the client has not cancelled.
     *
     * @param worked whether the call received a list and lasted longer than the timeout for its
     *     first response
     */
    void onCallFailed(DiscoveryCall call, boolean worked) {
        if (activeWatch == call) {
            activeWatch = null;
        }
        if (!pushMode) {
            listener.onDiscoveryFailed();
        } else if (call.isWatch()) {
            reopenWatchAfter(worked ? 0 : timing.retryBackoffMs());
        }
    }

    private void reopenWatchAfter(long backoffMs) {
        loop.schedule(
                () -> {
                    if (activeWatch == null) {
                        setWatching(true);
                    }
                },
                backoffMs,
                TimeUnit.MILLISECONDS);
    }
}
