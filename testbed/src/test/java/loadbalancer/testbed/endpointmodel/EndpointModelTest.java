package loadbalancer.testbed.endpointmodel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EndpointModelTest {
    private final EndpointModel endpoint = new EndpointModel(1, 1, 2.0, 0.25, 1_000_000);

    private static Job job(long work, long number) {
        return new Job(0, work, number);
    }

    @Test
    void fullQueueRejectsTheThirdJob() {
        Job first = job(10_000, 1);
        Job second = job(10_000, 2);
        assertTrue(endpoint.tryAccept(0, first));
        assertTrue(endpoint.tryAccept(0, second));
        assertFalse(endpoint.tryAccept(0, job(10_000, 3)));
        // At speed 2, work of 10 ms takes 5 ms.
        assertEquals(5_000, endpoint.nextCompletionMicros());
        assertNull(endpoint.pollCompleted(4_999));
        assertSame(first, endpoint.pollCompleted(5_000));
        assertEquals(10_000, endpoint.nextCompletionMicros());
        assertSame(second, endpoint.pollCompleted(12_000));
        assertEquals(Long.MAX_VALUE, endpoint.nextCompletionMicros());
    }

    @Test
    void cancelledJobFreesItsSlot() {
        Job first = job(10_000, 1);
        endpoint.tryAccept(0, first);
        endpoint.tryAccept(0, job(10_000, 2));
        endpoint.cancel(1_000, first);
        assertEquals(6_000, endpoint.nextCompletionMicros());
        assertEquals(1, endpoint.inFlight());
    }

    @Test
    void capacityRampsUpAfterRestart() {
        endpoint.restart(1_000_000);
        assertEquals(0.5, endpoint.capacity(1_000_000), 1e-9);
        assertEquals(1.25, endpoint.capacity(1_500_000), 1e-9);
        assertEquals(2, endpoint.capacity(2_000_000), 1e-9);
        endpoint.tryAccept(1_000_000, job(10_000, 1));
        assertEquals(1_020_000, endpoint.nextCompletionMicros());
    }

    @Test
    void hangingEndpointCompletesNothing() {
        endpoint.setHanging(true);
        assertTrue(endpoint.tryAccept(0, job(10_000, 1)));
        assertNull(endpoint.pollCompleted(1_000_000));
        endpoint.setHanging(false);
        assertEquals(1, endpoint.pollCompleted(1_000_000).sequence());
    }
}
