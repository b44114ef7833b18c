package junctionhead.lab.capacity;

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
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import junctionhead.Policy;
import junctionhead.lab.plan.Seeds;
import junctionhead.membership.News;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * Real time over loopback: a socket a hollow balancer, some threads for all of them and one for
 * what lies between. The last balancers of the site may be real processes.
 */
final class SocketDrive implements Drive {
    // µs until discovery's news come
    private static final long NEWS_LEAST = 200_000;
    private static final long NEWS_MOST = 1_500_000;
    private static final int DESCRIPTORS_SPARE = 200;

    /**
     * How late timers came, s, of 99 in 100: what a machine too busy makes of a fleet is not the
     * fleet's.
     */
    static final String LATE = "timersLate.seconds.p99";

    private final Site site;
    private final long seed;
    private final NioEventLoopGroup group;
    private final Histogram lateness = new SynchronizedHistogram(3);
    private final FanOut paths;
    private final List<Seat> seats = new ArrayList<>();
    // Filled before any is started
    private final Map<InetSocketAddress, Integer> faces = new HashMap<>();
    private final Notices notices;
    private final Histogram listTimes = new SynchronizedHistogram(3);
    private final List<Long> threads = new ArrayList<>();
    private final ThreadMXBean bean = ManagementFactory.getThreadMXBean();
    private final SplittableRandom random;
    // Null: none
    private final RealBalancers real;
    private long cpuFrom;

    /**
     * One balancer over all its processes: its socket, its thread and its costs. On that thread
     * only.
     */
    private final class Seat extends SimpleChannelInboundHandler<DatagramPacket> implements Host {
        private final int rank;
        private final Ledger ledger = new Ledger();
        private final Channel channel;
        private final EventLoop loop;
        // Null: none runs
        private HollowBalancer balancer;
        private int starts;

        Seat(int rank) {
            this.rank = rank;
            channel = FanOut.socket(group, this);
            loop = channel.eventLoop();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            Integer from = faces.get(packet.sender());
            if (from != null && balancer != null) {
                balancer.heard(from, ByteBufUtil.getBytes(packet.content()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            throw new IllegalStateException("n" + rank, cause);
        }

        @Override
        public long now() {
            return SocketDrive.this.now();
        }

        @Override
        public void after(long delay, Runnable what) {
            long wanted = now() + delay;
            loop.schedule(
                    () -> {
                        lateness.recordValue(Math.max(0, now() - wanted));
                        what.run();
                    },
                    delay,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void tell(int peer, byte[] data) {
            channel.writeAndFlush(
                    new DatagramPacket(
                            Unpooled.wrappedBuffer(data),
                            peer < 0 ? paths.everyone() : paths.face(peer)));
        }

        @Override
        public void seen(News news) {
            notices.seen(rank, news, now());
        }

        void start() {
            long incarnation = System.currentTimeMillis();
            notices.born(rank, now());
            if (starts > 0) {
                notices.back(rank, now(), incarnation, SocketDrive.this::runs);
            }
            balancer =
                    new HollowBalancer(
                            this,
                            site,
                            rank,
                            incarnation,
                            Seeds.number(seed, "hollow " + rank + " start " + starts++),
                            ledger);
            balancer.start();
        }

        void end(boolean inOrder) {
            if (inOrder) {
                balancer.leave();
            } else {
                balancer.kill();
            }
            balancer = null;
            notices.blind(rank);
            notices.gone(rank, now(), SocketDrive.this::runs);
        }

        <T> T ask(java.util.concurrent.Callable<T> what) {
            return loop.submit(what).syncUninterruptibly().getNow();
        }

        void run(Runnable what) {
            loop.submit(what).syncUninterruptibly();
        }
    }

    // As the player of conditions has asked for
    private final boolean[] running;

    /**
     * Opens all sockets and starts the real balancers.
     *
     * @param threadCount for all hollow balancers; 0: one for each, as real ones have
     * @throws IOException where the system allows too few descriptors, or a process can't be
     *     started
     */
    SocketDrive(Site site, long seed, int threadCount, int realOnes) throws IOException {
        this.site = site;
        this.seed = seed;
        int wanted = 2 * site.balancers() + DESCRIPTORS_SPARE;
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                && system.getMaxFileDescriptorCount() < wanted) {
            throw new IOException(
                    site.balancers()
                            + " balancers want "
                            + wanted
                            + " descriptors, allowed "
                            + "are "
                            + system.getMaxFileDescriptorCount());
        }
        group = new NioEventLoopGroup(threadCount > 0 ? threadCount : site.balancers() - realOnes);
        random = new SplittableRandom(seed);
        running = new boolean[site.balancers()];
        notices = new Notices(site.balancers());
        paths = new FanOut(site.balancers(), seed);
        for (int b = 0; b < site.balancers(); b++) {
            faces.put(paths.face(b), b);
        }
        for (int b = 0; b < site.balancers() - realOnes; b++) {
            Seat seat = new Seat(b);
            seats.add(seat);
            paths.home(b, (InetSocketAddress) seat.channel.localAddress());
        }
        group.forEach(
                loop ->
                        threads.add(
                                loop.submit(() -> Thread.currentThread().getId())
                                        .syncUninterruptibly()
                                        .getNow()));
        real = realOnes == 0 ? null : new RealBalancers(site, this, realOnes, seed);
    }

    /** What lies between the balancers. */
    FanOut paths() {
        return paths;
    }

    @Override
    public long now() {
        return System.nanoTime() / 1000;
    }

    @Override
    public void start(int b) {
        running[b] = true;
        if (b < seats.size()) {
            seats.get(b).run(seats.get(b)::start);
        }
    }

    @Override
    public void kill(int b) {
        end(b, false);
    }

    @Override
    public void leave(int b) {
        end(b, true);
    }

    private void end(int b, boolean inOrder) {
        running[b] = false;
        seats.get(b).run(() -> seats.get(b).end(inOrder));
    }

    @Override
    public boolean runs(int b) {
        return running[b] && b < seats.size();
    }

    @Override
    public void loss(double part) {
        paths.loss(part);
    }

    @Override
    public void cut(IntPredicate side) {
        paths.cut(side);
    }

    @Override
    public void news(Supplier<List<Policy.Server>> changes) {
        if (!site.parts().contains(Part.MODULE)) {
            // Nobody has a list
            return;
        }
        long from = now();
        for (Seat seat : seats) {
            long delay = random.nextLong(NEWS_LEAST, NEWS_MOST);
            seat.after(
                    delay,
                    () -> {
                        if (seat.balancer != null) {
                            seat.balancer.listed(changes.get());
                            listTimes.recordValue(now() - from);
                        }
                    });
        }
    }

    @Override
    public void play(long length) {
        try {
            TimeUnit.MICROSECONDS.sleep(length);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    @Override
    public void clear() {
        seats.forEach(seat -> seat.run(seat.ledger::clear));
        paths.clear();
        if (real != null) {
            real.clear();
        }
        lateness.reset();
        cpuFrom = cpu();
    }

    private long cpu() {
        return threads.stream().mapToLong(bean::getThreadCpuTime).sum();
    }

    @Override
    public List<Ledger> ledgers() {
        return seats.stream().map(seat -> seat.ask(seat.ledger::copy)).toList();
    }

    @Override
    public long cpuNanos() {
        return cpu() - cpuFrom;
    }

    // Threads that rest most of the time are seldom kept waiting; what they are counts as the
    // balancers' own.
    @Override
    public double cpuPart() {
        return 1;
    }

    @Override
    public double[] othersRates() {
        return seats.stream()
                .mapToDouble(
                        seat ->
                                seat.ask(
                                        () ->
                                                seat.balancer == null
                                                        ? Double.NaN
                                                        : seat.balancer.othersRate()))
                .toArray();
    }

    @Override
    public Histogram listTimes() {
        return listTimes;
    }

    @Override
    public Notices notices() {
        return notices;
    }

    @Override
    public Map<String, Double> others(double seconds) throws IOException {
        Map<String, Double> figures =
                new TreeMap<>(real == null ? Map.of() : real.figures(seconds));
        figures.put(LATE, lateness.getValueAtPercentile(99) / 1e6);
        return figures;
    }

    @Override
    public void close() {
        if (real != null) {
            real.close();
        }
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
        paths.close();
    }
}
