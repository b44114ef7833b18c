package junctionhead.lab.cost;

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
final class CostPeers implements AutoCloseable {
    // Format 3 of balancers' messages: zone 0, 62 requests a second, three queues of one, nothing
    // else.
    private static final byte[] WORD = {3, 0, 0, 62, 3, 0, 0x10, 1, 0x20, 1, 0x30, 1};
    // Of one /24
    private static final int HOSTS = 250;
    private static final int MESSAGE_MOST = 1024;
    private static final long SECOND = 1_000_000_000;

    private final List<DatagramChannel> peers = new ArrayList<>();
    private final Selector selector = Selector.open();
    private final AtomicLong datagrams = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private final InetSocketAddress to;
    private final int speakers;
    private final List<Thread> threads =
            List.of(new Thread(this::speak, "peers speak"), new Thread(this::hear, "peers hear"));
    private volatile boolean over;

    /**
     * So many peers, of one that listens at {@code to}, at addresses of its network; {@code
     * speakers} of them speak: the first ones and the last ones.
     */
    CostPeers(int count, int speakers, InetSocketAddress to) throws IOException {
        this.to = to;
        this.speakers = speakers;
        byte[] own = to.getAddress().getAddress();
        for (int i = 0; i < count; i++) {
            byte[] address = {own[0], own[1], (byte) (10 + i / HOSTS), (byte) (1 + i % HOSTS)};
            DatagramChannel peer =
                    DatagramChannel.open()
                            .bind(new InetSocketAddress(InetAddress.getByAddress(address), 0));
            peer.configureBlocking(false);
            peer.register(selector, SelectionKey.OP_READ);
            peers.add(peer);
        }
        threads.forEach(
                t -> {
                    t.setDaemon(true);
                    t.start();
                });
    }

    /** Their addresses in order. */
    List<InetSocketAddress> addresses() throws IOException {
        List<InetSocketAddress> all = new ArrayList<>();
        for (DatagramChannel peer : peers) {
            all.add((InetSocketAddress) peer.getLocalAddress());
        }
        return all;
    }

    /** Datagrams told to all of them so far. */
    long datagrams() {
        return datagrams.get();
    }

    /** Their bytes, without headers. */
    long bytes() {
        return bytes.get();
    }

    private void speak() {
        long from = System.nanoTime();
        try {
            for (long i = 0; !over && speakers > 0; i++) {
                long at = from + i * SECOND / speakers;
                while (System.nanoTime() < at && !over) {
                    LockSupport.parkNanos(at - System.nanoTime());
                }
                int turn = (int) (i % speakers);
                peers.get(turn % 2 == 0 ? turn / 2 : peers.size() - 1 - turn / 2)
                        .send(ByteBuffer.wrap(WORD), to);
            }
        } catch (IOException e) {
            // Closed
            return;
        }
    }

    private void hear() {
        ByteBuffer into = ByteBuffer.allocate(MESSAGE_MOST);
        try {
            while (!over) {
                selector.select(
                        key -> {
                            try {
                                while (((DatagramChannel) key.channel()).receive(into.clear())
                                        != null) {
                                    datagrams.incrementAndGet();
                                    bytes.addAndGet(into.position());
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
        over = true;
        for (Thread t : threads) {
            try {
                t.join(1_000);
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
