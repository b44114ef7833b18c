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
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.FileDescriptorBudget;

/**
 * The HTTP side towards the clients: accepts connections, hands their requests to the dispatcher
 * and writes the final responses; its life from listening over draining to graceful shutdown.
 * Belongs to the event loop, except for the constructor and the two methods {@code listen}.
 */
public final class HttpFrontend {
    // Clients go on sending requests until they notice that the balancer is not ready.
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
     * @param closeLongestIdleUpstream closes an idle connection to an upstream to free its
     *     descriptor; returns false where there is none
     * @param bufferBudget the bound on what is buffered of all streamed bodies together
     */
    public HttpFrontend(
            EventLoop loop,
            BootSettings boot,
            Dispatcher dispatcher,
            FileDescriptorBudget descriptorBudget,
            BooleanSupplier closeLongestIdleUpstream,
            EventLog events,
            BodyRelay.BufferBudget bufferBudget) {
        this.loop = loop;
        this.listener = new ClientListener(loop, this::onAccepted);
        this.connections =
                new ClientConnections(
                        loop, servingState, listener, descriptorBudget, closeLongestIdleUpstream);
        this.requestProcessor =
                new RequestProcessor(new ProxyRequestParser(boot), dispatcher, servingState);
        this.context =
                new FrontendContext(
                        loop, servingState, connections, requestProcessor, events, bufferBudget);
    }

    private void onAccepted(Channel channel) {
        new ClientConnection(channel, context).open();
    }

    /**
     * Listens and accepts connections at once. Not called on the event loop.
     *
     * @return the address in use
     * @throws IOException if the address can't be bound, or the thread is interrupted
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        return listener.listen(address);
    }

    /**
     * Uses a socket that listens already, possibly along with other processes; accepts nothing
     * before {@link #ready}. Not called on the event loop.
     *
     * @return the address in use
     * @throws IOException if the thread is interrupted
     */
    public InetSocketAddress listen(ServerSocketChannel inheritedSocket) throws IOException {
        return listener.listen(inheritedSocket);
    }

    /** Whether the readiness check succeeds. */
    public boolean isReady() {
        return servingState.isReady();
    }

    /** Lets the readiness check succeed and accepts connections. */
    public void ready() {
        servingState.setReady();
        if (!listener.isAccepting() && !servingState.isStopping()) {
            listener.startAccepting();
            connections.enforceLimit();
        }
    }

    /** Serves a warm-up's requests as well; null when it is over. */
    public void setWarmUp(WarmUpTraffic activeWarmUp) {
        requestProcessor.setWarmUp(activeWarmUp);
        if (activeWarmUp == null) {
            listener.closeInProcess();
        }
    }

    /**
     * Accepts connections within this process, for a warm-up; {@code onListening} runs on the event
     * loop once it does.
     */
    public void listenInProcess(LocalAddress address, Runnable onListening) {
        listener.listenInProcess(address, onListening);
    }

    /**
     * Begins a shutdown: the readiness check fails and responses end their connections. New
     * connections are still accepted, unless another process accepts them.
     */
    public void stopping(boolean anotherProcessAccepts) {
        servingState.setStopping();
        if (anotherProcessAccepts) {
            listener.stopAccepting();
        }
    }

    /**
     * Accepts no more connections and closes those that hold no request; {@code onClosed} runs on
     * the event loop once none is left. Each of the others has a bound of its own.
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
     * Drains the balancer until {@link #resume}: the readiness check fails, responses end their
     * connections, and idle connections are closed soon.
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

    /** Ends a drain; does nothing where there is none. */
    public void resume() {
        if (servingState.isDraining()) {
            servingState.setDraining(false);
            drainTask.cancel(false);
        }
    }

    /** The numbers of connections by state, for the log. */
    @Override
    public String toString() {
        return connections.toString();
    }
}
