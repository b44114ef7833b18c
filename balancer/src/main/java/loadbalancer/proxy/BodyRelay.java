package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Streams a body from one connection, the source, to another, the sink, at the speed of the slower
 * one: reading from the source pauses while the sink can't take more, so that only a few reads are
 * buffered. The relay owns its timers and the buffers that it is given until it has finished.
 * Confined to the event loop, which both connections share.
 */
public final class BodyRelay {
    /** The bytes buffered before there is a sink; bodies of up to this length need no relay. */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** After this time without progress, the side that makes none is closed. */
    private static final long STALL_TIMEOUT_NS = 10_000_000_000L;

    private static final long STALL_CHECK_INTERVAL_MS = 1_000;

    /** Parts from this size on are not copied. */
    private static final int MAX_COPIED_PART_BYTES = 8 * 1024;

    /** The size of the buffers into which smaller parts are copied. */
    private static final int COLLECTION_BYTES = 8 * 1024;

    /** Added to the size of each buffered part. */
    private static final int PART_OVERHEAD_BYTES = 128;

    /** The interval at which a paused source is read to detect a close behind unread bytes. */
    private static final long DISCONNECT_CHECK_INTERVAL_MS = 100;

    /** The number of buffered bytes from which on a paused source is not read. */
    private static final int MAX_DISCONNECT_CHECK_BYTES = 4 * MAX_BUFFERED_BYTES;

    /** Receives one call when the relay ends, or none if the sink has discarded the body. */
    public interface Listener {
        /** Handles the end of the body, which has been written to the sink completely. */
        void onComplete();

        /** Handles an early end of the source: the body that was written is incomplete. */
        void onAborted();
    }

    private final Channel source;
    private final MemoryBudget memory;
    private final Runnable onDiscarded;
    private final ArrayDeque<ByteBuf> pendingParts = new ArrayDeque<>();
    // The buffer into which small parts are copied; null unless it is the last pending part.
    private ByteBuf collectedParts;
    private final Future<?> stallCheck;
    // Null if an early end of the source need not be detected.
    private final Future<?> disconnectCheck;
    // Null until writeTo.
    private Channel sink;
    // Null until writeTo.
    private Listener listener;
    // Bytes that are pending, or written and not yet flushed to the socket.
    private long bufferedBytes;
    private long lastProgressNanos = System.nanoTime();
    // Whether the whole body has been received.
    private boolean sourceEnded;
    // The last part, until it is known whether the source is still connected.
    private ByteBuf deferredLastPart;
    private boolean lastContentWritten;
    // Guards writePending, which is not re-entrant.
    private boolean writing;
    private boolean finished;

    /**
     * Creates a relay without a sink and starts its timers.
     *
     * @param memory the limit on the bytes that all relays of a process buffer together, because
     *     the total of many relays that each buffer little would otherwise be unlimited
     * @param detectDisconnect whether to detect the end of the source's input while reading is
     *     paused
     * @param onDiscarded runs once if the sink discards the body before its end
     */
    public BodyRelay(
            Channel source, MemoryBudget memory, boolean detectDisconnect, Runnable onDiscarded) {
        this.source = source;
        this.memory = memory;
        this.onDiscarded = onDiscarded;
        stallCheck = schedule(this::checkForStall, STALL_CHECK_INTERVAL_MS);
        disconnectCheck =
                detectDisconnect
                        ? schedule(this::checkForDisconnect, DISCONNECT_CHECK_INTERVAL_MS)
                        : null;
    }

    private Future<?> schedule(Runnable check, long intervalMillis) {
        return source.eventLoop()
                .scheduleWithFixedDelay(
                        check, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void checkForDisconnect() {
        if (!finished
                && !sourceEnded
                && isSourcePaused()
                && bufferedBytes < MAX_DISCONNECT_CHECK_BYTES
                && !memory.isExhausted()) {
            source.read();
        }
    }

    // Before there is a sink, the time is limited by the request's deadline.
    private void checkForStall() {
        if (sink != null && System.nanoTime() - lastProgressNanos > STALL_TIMEOUT_NS) {
            Channel stalled = bufferedBytes > 0 || sourceEnded ? sink : source;
            stalled.close();
        }
    }

    /** Returns whether a sink may have received part of the body, so that it can't be resent. */
    boolean hasStarted() {
        return sink != null;
    }

    /** Returns whether the whole body has been received. */
    public boolean isSourceEnded() {
        return sourceEnded;
    }

    /** Returns whether reading from the source is paused until the sink takes more. */
    public boolean isSourcePaused() {
        return !source.config().isAutoRead();
    }

    /**
     * Adds a part of the body; takes ownership of it and releases it after its write. The parts of
     * one read are written together, by a call of {@link #writePending} after the read: a write for
     * each would let a source of many small parts take most of the event loop.
     */
    public void add(ByteBuf part) {
        if (finished || !part.isReadable()) {
            part.release();
            return;
        }
        addPending(part);
        lastProgressNanos = System.nanoTime();
        if (sink == null || bufferedBytes >= MAX_BUFFERED_BYTES) {
            writePending();
        }
    }

    // A small part is a slice of a larger buffer, which it would retain, so it is copied behind the
    // previous one.
    private void addPending(ByteBuf part) {
        if (part.readableBytes() >= MAX_COPIED_PART_BYTES) {
            collectedParts = null;
            appendPart(part);
            return;
        }
        if (collectedParts == null || !collectedParts.isWritable(part.readableBytes())) {
            collectedParts = Unpooled.buffer(collectionBytes(part), COLLECTION_BYTES);
            appendPart(collectedParts);
        }
        collectedParts.writeBytes(part);
        part.release();
    }

    // Collects only while parts wait, so that a part that is written at once takes its own size.
    private int collectionBytes(ByteBuf part) {
        return pendingParts.isEmpty() ? part.readableBytes() : COLLECTION_BYTES;
    }

    private void appendPart(ByteBuf part) {
        pendingParts.add(part);
        adjustBufferedBytes(sizeOf(part));
    }

    private static int sizeOf(ByteBuf part) {
        return part.capacity() + PART_OVERHEAD_BYTES;
    }

    /** Ends the body; what the source sends next belongs to another message. */
    public void complete() {
        if (!sourceEnded) {
            sourceEnded = true;
            cancelDisconnectCheck();
            source.config().setAutoRead(true);
            writePending();
        }
    }

    /**
     * Adds the last part of the body and takes ownership of it. The part is written only after the
     * source has been read again: if the input has ended, the client has disconnected, possibly
     * long ago, and its request must not become complete.
     */
    public void complete(ByteBuf lastPart) {
        if (finished || sourceEnded) {
            lastPart.release();
            return;
        }
        deferredLastPart = lastPart;
        complete();
        source.eventLoop().execute(this::writeLastPartIfConnected);
    }

    private void writeLastPartIfConnected() {
        if (source.unsafe() instanceof AbstractNioChannel.NioUnsafe socket && source.isActive()) {
            socket.read();
        }
        ByteBuf lastPart = deferredLastPart;
        deferredLastPart = null;
        if (finished || !source.isActive()) {
            lastPart.release();
            abortUnlessFinished();
            return;
        }
        if (lastPart.isReadable()) {
            addPending(lastPart);
        } else {
            lastPart.release();
        }
        writePending();
    }

    /** Handles the close of the source; does nothing once the whole body has been received. */
    public void abort() {
        if (!sourceEnded) {
            abortUnlessFinished();
        }
    }

    private void abortUnlessFinished() {
        if (!finished) {
            finish();
            if (listener != null) {
                listener.onAborted();
            }
        }
    }

    /** Sets the sink and starts writing to it, after the data already written there. */
    public void writeTo(Channel channel, Listener completionListener) {
        sink = channel;
        listener = completionListener;
        lastProgressNanos = System.nanoTime();
        if (finished) {
            // The source has ended early.
            completionListener.onAborted();
        } else {
            writePending();
        }
    }

    /** Drops the rest of the body because the sink takes no more. */
    public void discard() {
        if (!finished) {
            finish();
            if (!sourceEnded) {
                source.config().setAutoRead(true);
                onDiscarded.run();
            }
        }
    }

    /** Continues writing; called when the sink has become writable, and after each read. */
    public void writePending() {
        if (writing || finished) {
            return;
        }
        if (sink != null) {
            writing = true;
            try {
                writeWhatIsDue();
            } finally {
                writing = false;
            }
        }
        updateAutoRead();
    }

    private void writeWhatIsDue() {
        boolean needsFlush = writePendingParts();
        if (isLastContentDue()) {
            writeLastContent();
        } else if (needsFlush) {
            sink.flush();
        }
    }

    // Returns whether something is left to flush.
    private boolean writePendingParts() {
        boolean needsFlush = false;
        while (!finished && !pendingParts.isEmpty() && sink.isWritable()) {
            ByteBuf part = pendingParts.poll();
            if (pendingParts.isEmpty()) {
                collectedParts = null;
            }
            int sizeBytes = sizeOf(part);
            sink.write(new DefaultHttpContent(part))
                    .addListener(done -> onPartWritten(sizeBytes, done.isSuccess()));
            needsFlush = true;
            if (!sink.isWritable()) {
                // The flush may make the sink writable immediately.
                sink.flush();
                needsFlush = false;
            }
        }
        return needsFlush;
    }

    private boolean isLastContentDue() {
        return !finished
                && sourceEnded
                && deferredLastPart == null
                && pendingParts.isEmpty()
                && !lastContentWritten;
    }

    private void writeLastContent() {
        lastContentWritten = true;
        sink.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(
                        done -> {
                            if (done.isSuccess() && !finished) {
                                finish();
                                listener.onComplete();
                            }
                        });
    }

    private void onPartWritten(int sizeBytes, boolean success) {
        adjustBufferedBytes(-sizeBytes);
        lastProgressNanos = System.nanoTime();
        if (!success) {
            // The owner of the sink is notified of the close.
            sink.close();
        } else if (!writing) {
            updateAutoRead();
        }
    }

    // Without a sink, reads until the buffer is full; with one, reads once all parts are written to
    // it. While the budget is exhausted, reads only if nothing is buffered.
    private void updateAutoRead() {
        if (!finished && !sourceEnded) {
            boolean hasCapacity =
                    sink == null
                            ? bufferedBytes < MAX_BUFFERED_BYTES
                            : pendingParts.isEmpty() && sink.isWritable();
            boolean withinBudget = bufferedBytes == 0 || !memory.isExhausted();
            source.config().setAutoRead(hasCapacity && withinBudget);
        }
    }

    private void adjustBufferedBytes(int deltaBytes) {
        bufferedBytes += deltaBytes;
        memory.reserve(deltaBytes);
    }

    // The only method that cancels the timers and releases the buffers that were not written.
    private void finish() {
        finished = true;
        collectedParts = null;
        stallCheck.cancel(false);
        cancelDisconnectCheck();
        for (ByteBuf part = pendingParts.poll(); part != null; part = pendingParts.poll()) {
            adjustBufferedBytes(-sizeOf(part));
            part.release();
        }
    }

    private void cancelDisconnectCheck() {
        if (disconnectCheck != null) {
            disconnectCheck.cancel(false);
        }
    }
}
