package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.admin.EventLog;
import loadbalancer.config.BootSettings;
import loadbalancer.dispatch.Dispatcher;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.PeerMemory;

/**
 * The HTTP server for clients: accepts connections, submits their requests to the dispatcher and
 * writes the final responses. Also manages listening, draining and graceful shutdown. Confined to
 * the event loop, except for the constructor and the two {@code listen} methods.
 */
public final class HttpFrontend {
    // Clients keep sending requests until they notice that the balancer is not ready.
    private static final long DRAIN_INITIAL_DELAY_MS = 600;
    private static final long DRAIN_INTERVAL_MS = 400;

    private final EventLoop loop;
    private final ServingState servingState = new ServingState();
    private final ClientListener listener;
    private final ClientConnections connections;
    private final RequestProcessor requestProcessor;
    private final FrontendContext context;
    // Null before the first drain.
    private Future<?> drainTask;

    /**
     * Creates a frontend that is neither listening nor ready.
     *
     * @param closeLongestIdleUpstream closes an idle connection to an upstream to free its
     *     descriptor; returns false if there is none
     * @param memory the limit on the memory of all clients and upstreams together
     */
    public HttpFrontend(
            EventLoop loop,
            BootSettings boot,
            Dispatcher dispatcher,
            FileDescriptorBudget descriptorBudget,
            BooleanSupplier closeLongestIdleUpstream,
            EventLog events,
            PeerMemory memory) {
        this.loop = loop;
        this.listener = new ClientListener(loop, memory, this::onAccepted);
        this.connections =
                new ClientConnections(
                        loop, servingState, listener, descriptorBudget, closeLongestIdleUpstream);
        this.requestProcessor =
                new RequestProcessor(new ProxyRequestParser(boot), dispatcher, servingState);
        this.context =
                new FrontendContext(
                        loop, servingState, connections, requestProcessor, events, memory);
    }

    private void onAccepted(Channel channel) {
        new ClientConnection(channel, context).open();
    }

    /**
     * Listens on an address and starts accepting connections. Must not be called on the event loop.
     *
     * @return the address in use
     * @throws IOException if the address can't be bound, or the thread is interrupted
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        return listener.listen(address);
    }

    /**
     * Uses a socket that is already listening, possibly shared with another process; accepts
     * nothing before {@link #setReady}. Must not be called on the event loop.
     *
     * @return the address in use
     * @throws IOException if the thread is interrupted
     */
    public InetSocketAddress listen(ServerSocketChannel inheritedSocket) throws IOException {
        return listener.listen(inheritedSocket);
    }

    /** Returns whether the readiness check succeeds. */
    public boolean isReady() {
        return servingState.isReady();
    }

    /** Makes the readiness check succeed and starts accepting connections. */
    public void setReady() {
        servingState.setReady();
        if (!listener.isAccepting() && !servingState.isStopping()) {
            listener.startAccepting();
            connections.enforceLimit();
        }
    }

    /** Starts serving the requests of a warm-up, or ends it if {@code activeWarmUp} is null. */
    public void setWarmUp(WarmUpTraffic activeWarmUp) {
        requestProcessor.setWarmUp(activeWarmUp);
        if (activeWarmUp == null) {
            listener.closeInProcess();
        }
    }

    /**
     * Accepts connections from within this process, for a warm-up. {@code onListening} runs on the
     * event loop once it listens.
     */
    public void listenInProcess(LocalAddress address, Runnable onListening) {
        listener.listenInProcess(address, onListening);
    }

    /**
     * Begins a shutdown: the readiness check fails, and connections are closed after their pending
     * responses. New connections are still accepted, unless another process accepts them.
     */
    public void beginShutdown(boolean anotherProcessAccepts) {
        servingState.setStopping();
        if (anotherProcessAccepts) {
            listener.stopAccepting();
        }
    }

    /**
     * Stops accepting connections and closes those without a request. The other connections close
     * by themselves, each within its own time limits. {@code onClosed} runs on the event loop once
     * none is left.
     */
    public void close(Runnable onClosed) {
        connections.setOnEmpty(onClosed);
        if (listener.isAccepting()) {
            listener.closeWhenBacklogEmpty(
                    connections::acceptedCount, connections::closeWithoutRequest);
        } else {
            connections.closeWithoutRequest();
        }
    }

    /**
     * Drains the balancer until {@link #resume}: the readiness check fails, connections are closed
     * after their pending responses, and idle connections are closed soon.
     */
    public void drain() {
        if (!servingState.isDraining() && !servingState.isStopping()) {
            servingState.setDraining(true);
            drainTask =
                    loop.scheduleWithFixedDelay(
                            this::closeConnectionsForDrain,
                            DRAIN_INITIAL_DELAY_MS,
                            DRAIN_INTERVAL_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void closeConnectionsForDrain() {
        connections.withoutRequest().forEach(ClientConnection::closeForDrain);
    }

    /** Ends a drain; does nothing if there is none. */
    public void resume() {
        if (servingState.isDraining()) {
            servingState.setDraining(false);
            drainTask.cancel(false);
        }
    }

    /** Returns the numbers of connections by state, for the log. */
    @Override
    public String toString() {
        return connections.toString();
    }
}
