package loadbalancer.testbed.capacity;

import com.sun.management.UnixOperatingSystemMXBean;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import loadbalancer.membership.MemberUpdate;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.testbed.error.InsufficientResourcesException;
import loadbalancer.testbed.workload.RandomStreams;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * Runs a fleet in real time over loopback. Each hollow balancer has a socket, all of them share a
 * number of threads, and one more thread relays datagrams. The balancers with the highest numbers
 * may be real processes. The methods of the fleet are called on the thread of the experiment.
 */
final class SocketHollowFleet extends AbstractHollowFleet {
    // Descriptors for everything other than the two sockets of each balancer
    private static final int SPARE_DESCRIPTORS = 200;

    /**
     * The name of the metric for the lateness of timers (99th percentile, in seconds). Late timers
     * mean that the machine was too busy for the fleet.
     */
    static final String TIMER_LATENESS_METRIC = "timersLate.seconds.p99";

    private final long seed;
    private final NioEventLoopGroup eventLoopGroup;
    private final Histogram timerLatenessMicros = new SynchronizedHistogram(3);
    private final DatagramRelay relay;
    private final List<SocketHost> hosts = new ArrayList<>();
    // Filled before any balancer starts, and only read afterwards
    private final Map<InetSocketAddress, Integer> balancersByRelayAddress = new HashMap<>();
    private final List<Long> threadIds = new ArrayList<>();
    private final ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
    private final SplittableRandom random;
    // Null without real balancers
    private final RealBalancers realBalancers;
    private long cpuBaselineNanos;

    /**
     * Holds the socket, the event loop and the costs of one balancer, which remain the same for all
     * its processes. Confined to that event loop.
     */
    private final class SocketHost extends SimpleChannelInboundHandler<DatagramPacket>
            implements BalancerHost {
        private final int rank;
        private final CostCounters counters = new CostCounters();
        private final Channel channel;
        private final EventLoop eventLoop;
        // Null while no process is running
        private HollowBalancer balancer;
        private int startCount;

        SocketHost(int rank) {
            this.rank = rank;
            channel = DatagramRelay.openSocket(eventLoopGroup, this);
            eventLoop = channel.eventLoop();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            Integer sender = balancersByRelayAddress.get(packet.sender());
            if (sender != null && balancer != null) {
                balancer.onDatagram(sender, ByteBufUtil.getBytes(packet.content()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            throw new IllegalStateException("socket error of n" + rank, cause);
        }

        @Override
        public long now() {
            return SocketHollowFleet.this.now();
        }

        @Override
        public void runAfter(long delayMicros, Runnable task) {
            long dueMicros = now() + delayMicros;
            eventLoop.schedule(
                    () -> {
                        timerLatenessMicros.recordValue(Math.max(0, now() - dueMicros));
                        task.run();
                    },
                    delayMicros,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void send(int peer, byte[] data) {
            channel.writeAndFlush(
                    new DatagramPacket(
                            Unpooled.wrappedBuffer(data),
                            peer < 0 ? relay.broadcastAddress() : relay.relayAddress(peer)));
        }

        @Override
        public void onMemberUpdate(MemberUpdate update) {
            detections().onMemberUpdate(rank, update, now());
        }

        void start() {
            long incarnation = System.currentTimeMillis();
            detections().observerStarted(rank, now());
            if (startCount > 0) {
                detections()
                        .memberReturned(
                                rank, now(), incarnation, SocketHollowFleet.this::isRunning);
            }
            balancer =
                    new HollowBalancer(
                            this,
                            fleetSpec(),
                            rank,
                            incarnation,
                            RandomStreams.seedFor(seed, processStreamName(rank, startCount++)),
                            counters);
            balancer.start();
        }

        void stop(boolean graceful) {
            if (graceful) {
                balancer.leave();
            } else {
                balancer.kill();
            }
            balancer = null;
            detections().observerStopped(rank);
            detections().memberDied(rank, now(), SocketHollowFleet.this::isRunning);
        }

        <T> T callOnEventLoop(Callable<T> task) {
            return eventLoop.submit(task).syncUninterruptibly().getNow();
        }

        void runOnEventLoop(Runnable task) {
            eventLoop.submit(task).syncUninterruptibly();
        }
    }

    // True for each balancer that the experiment has started and not ended since
    private final boolean[] requestedRunning;

    /**
     * Opens all sockets and starts the real balancers.
     *
     * @param threadCount the number of threads that all hollow balancers share; 0: one thread for
     *     each, like real balancers
     * @throws IOException if the system allows too few descriptors, or a process can't be started
     */
    SocketHollowFleet(FleetSpec fleetSpec, long seed, int threadCount, int realBalancerCount)
            throws IOException {
        super(fleetSpec, new SynchronizedHistogram(3));
        this.seed = seed;
        int requiredDescriptors = 2 * fleetSpec.balancers() + SPARE_DESCRIPTORS;
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                && system.getMaxFileDescriptorCount() < requiredDescriptors) {
            throw new InsufficientResourcesException(
                    fleetSpec.balancers()
                            + " balancers need "
                            + requiredDescriptors
                            + " file descriptors, but the "
                            + "limit is "
                            + system.getMaxFileDescriptorCount());
        }
        eventLoopGroup =
                new NioEventLoopGroup(
                        threadCount > 0 ? threadCount : fleetSpec.balancers() - realBalancerCount);
        random = new SplittableRandom(seed);
        requestedRunning = new boolean[fleetSpec.balancers()];
        relay = new DatagramRelay(fleetSpec.balancers(), seed);
        for (int balancer = 0; balancer < fleetSpec.balancers(); balancer++) {
            balancersByRelayAddress.put(relay.relayAddress(balancer), balancer);
        }
        for (int balancer = 0; balancer < fleetSpec.balancers() - realBalancerCount; balancer++) {
            SocketHost host = new SocketHost(balancer);
            hosts.add(host);
            relay.register(balancer, (InetSocketAddress) host.channel.localAddress());
        }
        eventLoopGroup.forEach(
                eventLoop ->
                        threadIds.add(
                                eventLoop
                                        .submit(() -> Thread.currentThread().getId())
                                        .syncUninterruptibly()
                                        .getNow()));
        realBalancers =
                realBalancerCount == 0
                        ? null
                        : new RealBalancers(fleetSpec, this, realBalancerCount, seed);
    }

    /** Returns the relay, which is the network between the balancers. */
    DatagramRelay relay() {
        return relay;
    }

    @Override
    public long now() {
        return System.nanoTime() / 1000;
    }

    @Override
    public void start(int balancer) {
        requestedRunning[balancer] = true;
        if (balancer < hosts.size()) {
            hosts.get(balancer).runOnEventLoop(hosts.get(balancer)::start);
        }
    }

    @Override
    public void kill(int balancer) {
        stop(balancer, false);
    }

    @Override
    public void leave(int balancer) {
        stop(balancer, true);
    }

    private void stop(int balancer, boolean graceful) {
        requestedRunning[balancer] = false;
        hosts.get(balancer).runOnEventLoop(() -> hosts.get(balancer).stop(graceful));
    }

    @Override
    public boolean isRunning(int balancer) {
        return requestedRunning[balancer] && balancer < hosts.size();
    }

    @Override
    public void setLossRate(double lossRate) {
        relay.setLossRate(lossRate);
    }

    @Override
    public void partition(IntPredicate side) {
        relay.partition(side);
    }

    @Override
    void scheduleListUpdates(Supplier<List<Endpoint>> changes) {
        long publishedMicros = now();
        for (SocketHost host : hosts) {
            long delayMicros = random.nextLong(MIN_UPDATE_DELAY_MICROS, MAX_UPDATE_DELAY_MICROS);
            host.runAfter(
                    delayMicros,
                    () -> {
                        if (host.balancer != null) {
                            host.balancer.onListUpdate(changes.get());
                            listPropagationMicros().recordValue(now() - publishedMicros);
                        }
                    });
        }
    }

    @Override
    public void advance(long durationMicros) {
        try {
            TimeUnit.MICROSECONDS.sleep(durationMicros);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    @Override
    public void resetCounters() {
        hosts.forEach(host -> host.runOnEventLoop(host.counters::reset));
        relay.resetCounters();
        if (realBalancers != null) {
            realBalancers.resetCounters();
        }
        timerLatenessMicros.reset();
        cpuBaselineNanos = threadCpuNanos();
    }

    private long threadCpuNanos() {
        return threadIds.stream().mapToLong(threadBean::getThreadCpuTime).sum();
    }

    @Override
    public List<CostCounters> counters() {
        return hosts.stream().map(host -> host.callOnEventLoop(host.counters::copy)).toList();
    }

    @Override
    public long cpuNanos() {
        return threadCpuNanos() - cpuBaselineNanos;
    }

    // The threads are idle most of the time and rarely wait for a core. The time that they do wait
    // counts as CPU time of the balancers.
    @Override
    public double cpuFraction() {
        return 1;
    }

    @Override
    public double[] remoteRates() {
        return hosts.stream()
                .mapToDouble(
                        host ->
                                host.callOnEventLoop(
                                        () ->
                                                host.balancer == null
                                                        ? Double.NaN
                                                        : host.balancer.remoteRate()))
                .toArray();
    }

    @Override
    public Map<String, Double> additionalMetrics(double seconds) throws IOException {
        Map<String, Double> metrics =
                new TreeMap<>(realBalancers == null ? Map.of() : realBalancers.metrics(seconds));
        metrics.put(TIMER_LATENESS_METRIC, timerLatenessMicros.getValueAtPercentile(99) / 1e6);
        return metrics;
    }

    @Override
    public void close() {
        if (realBalancers != null) {
            realBalancers.close();
        }
        eventLoopGroup.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
        relay.close();
    }
}
