package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests flow control, endings and buffers of a relay between two embedded channels. */
class BodyRelayTest {
    private final EmbeddedChannel source = new EmbeddedChannel();
    private final EmbeddedChannel sink = new EmbeddedChannel();
    private final List<String> events = new ArrayList<>();
    private final MemoryBudget memory = new MemoryBudget(1_000_000);
    private final BodyRelay relay =
            new BodyRelay(source, memory, false, () -> events.add("discarded"));

    private final BodyRelay.Listener listener =
            new BodyRelay.Listener() {
                @Override
                public void onComplete() {
                    events.add("complete");
                }

                @Override
                public void onAborted() {
                    events.add("aborted");
                }
            };

    @AfterEach
    void close() {
        source.finishAndReleaseAll();
        sink.finishAndReleaseAll();
    }

    private static ByteBuf part(int sizeBytes) {
        return Unpooled.buffer(sizeBytes).writeZero(sizeBytes);
    }

    @Test
    void readingPausesUntilThereIsASink() {
        relay.add(part(BodyRelay.MAX_BUFFERED_BYTES));
        assertTrue(relay.isSourcePaused());
        relay.writeTo(sink, listener);
        assertFalse(relay.isSourcePaused());
        HttpContent written = sink.readOutbound();
        assertEquals(BodyRelay.MAX_BUFFERED_BYTES, written.content().readableBytes());
        written.release();
    }

    /** A write for each would let a source of many small parts take most of the event loop. */
    @Test
    void smallPartsOfOneReadAreWrittenTogether() {
        relay.writeTo(sink, listener);
        for (int i = 0; i < 1_000; i++) {
            relay.add(part(1));
        }
        assertNull(sink.readOutbound());
        relay.writePending();
        int parts = 0;
        int bytes = 0;
        for (HttpContent written = sink.readOutbound();
                written != null;
                written = sink.readOutbound()) {
            parts++;
            bytes += written.content().readableBytes();
            written.release();
        }
        assertEquals(1_000, bytes);
        assertTrue(parts <= 2, parts + " parts");
    }

    /** A slice of a few bytes would retain the buffer of the whole read. */
    @Test
    void memoryOfSmallPartsIsThatOfTheirCopies() {
        for (int i = 0; i < 1_000; i++) {
            relay.add(part(BodyRelay.MAX_BUFFERED_BYTES).readSlice(10));
        }
        assertTrue(memory.usedBytes() < 20_000, memory.usedBytes() + " bytes");
        relay.discard();
        assertEquals(0, memory.usedBytes());
    }

    @Test
    void lastPartIsWrittenIfTheSourceIsConnected() {
        relay.writeTo(sink, listener);
        relay.complete(part(1));
        assertNull(sink.readOutbound());
        source.runPendingTasks();
        HttpContent written = sink.readOutbound();
        assertEquals(1, written.content().readableBytes());
        written.release();
        assertSame(LastHttpContent.EMPTY_LAST_CONTENT, sink.readOutbound());
        assertEquals(List.of("complete"), events);
    }

    @Test
    void lastPartOfADisconnectedSourceIsReleasedAndNotWritten() {
        ByteBuf lastPart = part(1);
        relay.writeTo(sink, listener);
        relay.complete(lastPart);
        // Closes without running pending tasks first, unlike EmbeddedChannel.close().
        source.unsafe().close(source.newPromise());
        source.runPendingTasks();
        assertNull(sink.readOutbound());
        assertEquals(0, lastPart.refCnt());
        assertEquals(List.of("aborted"), events);
    }

    @Test
    void discardReleasesBuffersAndRunsOnDiscardedOnce() {
        ByteBuf buffered = part(1);
        relay.add(buffered);
        relay.discard();
        relay.discard();
        assertEquals(0, buffered.refCnt());
        assertEquals(List.of("discarded"), events);
    }
}
