package junctionhead.lab.cost;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;

/**
 * One client that asks at an even pace over one connection and notes how long answers take, from
 * when each request was due: what a stall keeps waiting counts.
 */
final class CostLoad implements AutoCloseable {
    private static final long SECOND = 1_000_000_000;
    private static final int TIME_OUT_MS = 10_000;

    private final InetSocketAddress to;
    private Socket socket;
    private InputStream in;
    private final IntFunction<String> tenant;
    private final int rate;
    private final Thread thread = new Thread(this::ask, "client");
    // µs
    private Histogram times = new Histogram(3);
    private long failed;
    private volatile boolean over;

    /** {@code tenant} names the owner of each request, or is null. */
    CostLoad(InetSocketAddress to, int rate, IntFunction<String> tenant) throws IOException {
        this.to = to;
        this.rate = rate;
        this.tenant = tenant;
        connect();
        thread.setDaemon(true);
        thread.start();
    }

    private void connect() throws IOException {
        socket = new Socket(to.getAddress(), to.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIME_OUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** The times since the last call, µs. */
    synchronized Histogram take() {
        Histogram taken = times;
        times = new Histogram(3);
        return taken;
    }

    /** Answers other than 200, and requests that got none. */
    synchronized long failed() {
        return failed;
    }

    private void ask() {
        long from = System.nanoTime();
        try {
            for (int i = 0; !over; i++) {
                long due = from + i * SECOND / rate;
                while (System.nanoTime() < due && !over) {
                    LockSupport.parkNanos(due - System.nanoTime());
                }
                boolean served = served(i);
                long took = System.nanoTime() - due;
                synchronized (this) {
                    times.recordValue(Math.max(0, took / 1000));
                    failed += served || over ? 0 : 1;
                }
            }
        } catch (IOException e) {
            synchronized (this) {
                failed += over ? 0 : 1;
            }
        }
    }

    // A connection may be closed for what was before it: the next request then takes a new one.
    private boolean served(int number) throws IOException {
        String text =
                "GET /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: "
                        + String.format(Locale.ROOT, "%016x", number)
                        + "\r\nReq-Kind: safe\r\nReq-Deadline-Ms: 1000\r\n"
                        + (tenant == null ? "" : "Req-Owner: " + tenant.apply(number) + "\r\n")
                        + "\r\n";
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return answer();
        } catch (IOException e) {
            if (!over) {
                socket.close();
                connect();
            }
            return false;
        }
    }

    private boolean answer() throws IOException {
        String status = line();
        int length = 0;
        for (String line = line(); !line.isEmpty(); line = line()) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        in.readNBytes(length);
        return status.startsWith("HTTP/1.1 200");
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("the connection ended");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        over = true;
        try {
            thread.join(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        socket.close();
    }
}
