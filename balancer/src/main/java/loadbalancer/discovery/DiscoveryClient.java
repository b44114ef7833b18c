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
 * Gets endpoint lists from discovery, by watches and polls. Where lists are pushed ({@link
 * DiscoveryMode#PUSH}) it keeps a watch open all the time, and opens the next when one ends: at
 * once after a watch that worked, after a backoff otherwise. Where lists are polled ({@link
 * DiscoveryMode#POLL}) it polls and watches only as the routing policy asks, and reports each
 * failure to it.
 *
 * <p>Its state is the address of discovery, the newest revision received, and the active watch, if
 * any. After the constructor all methods must be called on the event loop.
 */
public final class DiscoveryClient {
    private final EventLoop loop;
    private final BootSettings boot;
    private final EndpointListListener listener;
    private final Consumer<String> log;
    private final boolean pushed;
    private final DiscoveryTiming timing;
    private InetSocketAddress address;
    private long revision;
    // Null while nothing is watched
    private DiscoveryCall activeWatch;

    /**
     * A client that does nothing yet.
     *
     * @param loop the event loop that it is confined to
     * @param address where discovery listens
     * @param boot the platform's settings
     * @param revision the revision of the list that the balancer has, which a watch starts from
     * @param listener receives lists, and failures where lists are polled
     * @param log receives lines about lists that can't be decoded
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
        this.pushed = boot.settings().discoveryMode() == DiscoveryMode.PUSH;
        this.timing = DiscoveryTiming.of(boot);
    }

    /** Opens the watch where lists are pushed; where they are polled it waits to be asked. */
    public void start() {
        if (pushed) {
            setWatching(true);
        }
    }

    /**
     * Uses another address from here on. An active watch is replaced by one there, from the newest
     * revision received.
     */
    public void reconnectTo(InetSocketAddress newAddress) {
        address = newAddress;
        if (activeWatch != null) {
            setWatching(true);
        }
    }

    /** Opens a watch, in place of the active one if any, or ends the active one. */
    public void setWatching(boolean enabled) {
        DiscoveryCall previous = activeWatch;
        activeWatch = enabled ? DiscoveryCall.watch(this, loop, timing, address, revision) : null;
        if (previous != null) {
            previous.abandon();
        }
        if (enabled) {
            activeWatch.open();
        }
    }

    /** Polls the whole list once. */
    public void fetchList() {
        DiscoveryCall.poll(this, loop, timing, address).open();
    }

    /** Where discovery listens now. */
    InetSocketAddress address() {
        return address;
    }

    BootSettings bootSettings() {
        return boot;
    }

    /** A list without changes since the newest revision received. */
    EndpointList unchangedList() {
        return new EndpointList(revision, false, List.of());
    }

    /** Whether a list is older than one that was received already. */
    boolean isOutdated(EndpointList endpointList) {
        return endpointList.revision() < revision;
    }

    /** A call has brought a list. */
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
     * A call has ended without the client's doing.
     *
     * @param worked whether it had brought a list and lasted longer than one waits for the first
     */
    void onCallFailed(DiscoveryCall call, boolean worked) {
        if (activeWatch == call) {
            activeWatch = null;
        }
        if (!pushed) {
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
