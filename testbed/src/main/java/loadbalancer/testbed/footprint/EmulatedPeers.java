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

/**
 * Emulates the peers of one balancer. Each peer has its own address; the reporting ones send a load
 * report once per second, and the datagrams that all peers receive are counted. One thread sends
 * and another receives; the methods may be called on any other thread.
 */
final class EmulatedPeers implements AutoCloseable {
    // Format 3 of load reports: zone 0, 62 requests per second, three queues of one request each
    private static final byte[] LOAD_REPORT = {3, 0, 0, 62, 3, 0, 0x10, 1, 0x20, 1, 0x30, 1};
    // Number of addresses that are used in each /24 network
    private static final int HOSTS_PER_SUBNET = 250;
    private static final int MAX_MESSAGE_BYTES = 1024;

    private final List<DatagramChannel> peers = new ArrayList<>();
    private final Selector selector = Selector.open();
    private final AtomicLong receivedDatagrams = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final InetSocketAddress target;
    private final int reportingPeers;
    private final List<Thread> threads =
            List.of(
                    new Thread(this::sendReports, "peer reports"),
                    new Thread(this::receiveReports, "peer receiver"));
    private volatile boolean closed;

    /**
     * Opens the sockets of {@code count} peers, and starts the threads.
     *
     * @param reportingPeers the number of peers that send reports: half of them are the first
     *     peers, half the last ones
     * @param target the address of the balancer; the peers' addresses are in its network
     * @throws IOException if a socket can't be opened
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

    /** Returns the addresses of the peers, in order. */
    List<InetSocketAddress> addresses() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (DatagramChannel peer : peers) {
            addresses.add((InetSocketAddress) peer.getLocalAddress());
        }
        return addresses;
    }

    /** Returns the number of datagrams that all peers have received so far. */
    long receivedDatagrams() {
        return receivedDatagrams.get();
    }

    /** Returns the bytes that all peers have received so far, without headers. */
    long receivedBytes() {
        return receivedBytes.get();
    }

    private void sendReports() {
        Pacer pacer = new Pacer(reportingPeers);
        try {
            for (long i = 0; !closed && reportingPeers > 0; i++) {
                pacer.awaitDue(i, () -> closed);
                int sender = (int) (i % reportingPeers);
                peers.get(sender % 2 == 0 ? sender / 2 : peers.size() - 1 - sender / 2)
                        .send(ByteBuffer.wrap(LOAD_REPORT), target);
            }
        } catch (IOException e) {
            // The sockets were closed.
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
            // The sockets were closed.
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
