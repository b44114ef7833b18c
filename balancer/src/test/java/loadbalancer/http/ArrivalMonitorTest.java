package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests since when a client can have sent its last byte. */
class ArrivalMonitorTest {
    private static final long PAUSE_MS = 200;
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(PAUSE_MS);
    private static final int MORE_THAN_A_SEND_BUFFER = 5_000_000;

    private final ArrivalMonitor monitor = new ArrivalMonitor();

    private static void pause() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    }

    @Test
    void lastByteIsNotSentWhileAllThatArrivedHasBeenRead() throws InterruptedException {
        monitor.onRead(1_000);
        monitor.onEmpty();
        pause();
        monitor.onCheck(0);
        assertEquals(0, monitor.nanosSinceLastByte(false));
        assertTrue(monitor.nanosSinceLastByte(true) >= PAUSE_NANOS);
    }

    /** Bytes that are read later may have been sent with the first ones that were not read. */
    @Test
    void timeCountsFromTheFirstBytesThatAreNotRead() throws InterruptedException {
        monitor.onRead(1_000);
        monitor.onEmpty();
        pause();
        monitor.onCheck(500);
        pause();
        monitor.onRead(500);
        monitor.onCheck(700);
        long nanos = monitor.nanosSinceLastByte(false);
        assertTrue(nanos >= PAUSE_NANOS && nanos < 2 * PAUSE_NANOS, nanos + " ns");
    }

    /** A client that has sent more than its system can buffer was still sending meanwhile. */
    @Test
    void timeAdvancesWhileMoreArrivesThanTheClientCanBuffer() throws InterruptedException {
        monitor.onRead(1_000);
        for (int i = 0; i < 3; i++) {
            pause();
            monitor.onRead(MORE_THAN_A_SEND_BUFFER);
        }
        long nanos = monitor.nanosSinceLastByte(false);
        assertTrue(nanos >= PAUSE_NANOS && nanos < 2 * PAUSE_NANOS, nanos + " ns");
    }
}
