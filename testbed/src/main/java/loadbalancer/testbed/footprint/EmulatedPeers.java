package loadbalancer.testbed.footprint;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * The other balancers of a tier as one of them hears them: each has an address of its own, says
 * once a second how many requests it gets and where three of its attempts are, and counts what it
 * is told.
 */
final class EmulatedPeers implements AutoCloseable {
    // Format 3 of balancers' messages: zone 0, 62 requests a second, three queues of one, nothing
    // else.
    private static final byte[] LOAD_REPORT = {3, 0, 0, 62, 3, 0, 0x10, 1, 0x20, 1, 0x30, 1};
    // Of one /24
    private static final int HOSTS_PER_SUBNET = 250;
    private static final int MAX_MESSAGE_BYTES = 1024;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final List<DatagramChannel> peers = new ArrayList<>();
    private final Selector selector = Selector.open();
    private final AtomicLong receivedDatagrams = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final InetSocketAddress target;
    private final int reportingPeers;
    private final List<Thread> threads =
            List.of(
                    new Thread(this::sendReports, "peers speak"),
                    new Thread(this::receiveReports, "peers hear"));
    private volatile boolean closed;

    /**
     * So many peers, of one that listens at {@code target}, at addresses of its network; {@code
     * speakers} of them speak: the first ones and the last ones.
     */
    EmulatedPeers(int count, int reportingPeers, InetSocketAddress target) throws IOException {
        this.target = target;
        this.reportingPeers = reportingPeers;
        byte[] targetAddress = target.getAddress().getAddress();
        for (int i = 0; i < count; i++) {
            byte[] address = {
                targetAddress[0],
                targetAddress[1],
                (byte) (10 + i / HOSTS_PER_SUBNET),
                (byte) (1 + i % HOSTS_PER_SUBNET)
            };
            DatagramChannel peer =
                    DatagramChannel.open()
                            .bind(new InetSocketAddress(InetAddress.getByAddress(address), 0));
            peer.configureBlocking(false);
            peer.register(selector, SelectionKey.OP_READ);
            peers.add(peer);
        }
        threads.forEach(
                thread -> {
                    thread.setDaemon(true);
                    thread.start();
                });
    }

    /** Their addresses in order. */
    List<InetSocketAddress> addresses() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (DatagramChannel peer : peers) {
            addresses.add((InetSocketAddress) peer.getLocalAddress());
        }
        return addresses;
    }

    /** Datagrams told to all of them so far. */
    long receivedDatagrams() {
        return receivedDatagrams.get();
    }

    /** Their bytes, without headers. */
    long receivedBytes() {
        return receivedBytes.get();
    }

    private void sendReports() {
        long startNanos = System.nanoTime();
        try {
            for (long i = 0; !closed && reportingPeers > 0; i++) {
                long dueNanos = startNanos + i * NANOS_PER_SECOND / reportingPeers;
                while (System.nanoTime() < dueNanos && !closed) {
                    LockSupport.parkNanos(dueNanos - System.nanoTime());
                }
                int sender = (int) (i % reportingPeers);
                peers.get(sender % 2 == 0 ? sender / 2 : peers.size() - 1 - sender / 2)
                        .send(ByteBuffer.wrap(LOAD_REPORT), target);
            }
        } catch (IOException e) {
            // Closed
            return;
        }
    }

    private void receiveReports() {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
        try {
            while (!closed) {
                selector.select(
                        key -> {
                            try {
                                while (((DatagramChannel) key.channel()).receive(buffer.clear())
                                        != null) {
                                    receivedDatagrams.incrementAndGet();
                                    receivedBytes.addAndGet(buffer.position());
                                }
                            } catch (IOException e) {
                                key.cancel();
                            }
                        },
                        100);
            }
        } catch (IOException e) {
            // Closed
            return;
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (Thread thread : threads) {
            try {
                thread.join(1_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (DatagramChannel peer : peers) {
            peer.close();
        }
        selector.close();
    }
}
