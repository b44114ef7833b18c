package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Streams a body from one connection, its source, to another, its sink, at the speed of the slower
 * of them: reading from the source pauses while the sink can't take more, so that a few reads at
 * most are buffered. The relay owns the buffers that it is given and its timers until it has
 * finished. Both connections belong to one event loop, and so does the relay.
 */
public final class BodyRelay {
    /** Bytes that are buffered before there is a sink; bodies up to that length need no relay. */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** Without progress for this long the side that makes none is closed. */
    private static final long STALL_TIMEOUT_NS = 10_000_000_000L;

    private static final long STALL_CHECK_INTERVAL_MS = 1_000;

    /** Counted for each buffered part on top of its bytes. */
    private static final int PART_OVERHEAD_BYTES = 128;

    /** Between reads from a paused source: the end of its input follows unread bytes. */
    private static final long DISCONNECT_CHECK_INTERVAL_MS = 100;

    /** A paused source is not read beyond this. */
    private static final int MAX_DISCONNECT_CHECK_BYTES = 4 * MAX_BUFFERED_BYTES;

    /**
     * The bytes that all relays of a process buffer together: many relays that buffer little each
     * may not add up without a bound.
     */
    public static final class BufferBudget {
        private static final long MAX_BYTES = 4 << 20;
        private long usedBytes;

        private boolean isExhausted() {
            return usedBytes >= MAX_BYTES;
        }
    }

    /** Called once at the end, unless the sink has discarded the body. */
    public interface Listener {
        /** All of the body has been written to the sink. */
        void onComplete();

        /** The source has ended early: what has been written is incomplete. */
        void onAborted();
    }

    private final Channel source;
    private final BufferBudget bufferBudget;
    private final Runnable onDiscarded;
    private final ArrayDeque<ByteBuf> pendingParts = new ArrayDeque<>();
    private final Future<?> stallCheck;
    // Null where an early end of the source need not be detected
    private final Future<?> disconnectCheck;
    // Both null until writeTo
    private Channel sink;
    private Listener listener;
    // Pending, or written and not yet flushed to the socket
    private long bufferedBytes;
    private long lastProgressNanos = System.nanoTime();
    // All of the body has arrived
    private boolean sourceEnded;
    // The last part, until it is known whether the source is still connected
    private ByteBuf deferredLastPart;
    private boolean lastContentWritten;
    // writePending is not re-entrant
    private boolean writing;
    private boolean finished;

    /**
     * A relay without a sink; its timers start.
     *
     * @param detectDisconnect the end of the source's input is looked for while reading is paused
     * @param onDiscarded runs once if the sink discards the body before its end
     */
    public BodyRelay(
            Channel source,
            BufferBudget bufferBudget,
            boolean detectDisconnect,
            Runnable onDiscarded) {
        this.source = source;
        this.bufferBudget = bufferBudget;
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
                && !bufferBudget.isExhausted()) {
            source.read();
        }
    }

    // Before there is a sink, the deadline of the request bounds the time
    private void checkForStall() {
        if (sink != null && System.nanoTime() - lastProgressNanos > STALL_TIMEOUT_NS) {
            Channel stalled = bufferedBytes > 0 || sourceEnded ? sink : source;
            stalled.close();
        }
    }

    /** Whether a sink may have got some of the body: it can't be sent again then. */
    boolean hasStarted() {
        return sink != null;
    }

    /** Whether all of the body has arrived. */
    public boolean isSourceEnded() {
        return sourceEnded;
    }

    /** Whether reading from the source is paused for the sink. */
    public boolean isSourcePaused() {
        return !source.config().isAutoRead();
    }

    // ---------------------------------------------------------------- source

    /** Takes over a part of the body and releases it after its write. */
    public void add(ByteBuf part) {
        if (finished || !part.isReadable()) {
            part.release();
            return;
        }
        addPending(part);
        lastProgressNanos = System.nanoTime();
        writePending();
    }

    private void addPending(ByteBuf part) {
        pendingParts.add(part);
        adjustBufferedBytes(part.readableBytes() + PART_OVERHEAD_BYTES);
    }

    /** All of the body has arrived; what the source sends next belongs to another message. */
    public void complete() {
        if (!sourceEnded) {
            sourceEnded = true;
            cancelDisconnectCheck();
            source.config().setAutoRead(true);
            writePending();
        }
    }

    /**
     * Takes over the last part of the body. It is written after what follows it has been read:
     * where that is the end of the input the client has disconnected, maybe long ago, and its
     * request must not become complete.
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

    /** The source's connection has ended; without effect once all of the body has arrived. */
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

    // ---------------------------------------------------------------- sink

    /** Sets the sink and starts to write to it, behind what has been written there already. */
    public void writeTo(Channel channel, Listener completionListener) {
        sink = channel;
        listener = completionListener;
        lastProgressNanos = System.nanoTime();
        if (finished) {
            // The source had ended early
            completionListener.onAborted();
        } else {
            writePending();
        }
    }

    /** The sink takes no more: the rest of the body is dropped. */
    public void discard() {
        if (!finished) {
            finish();
            if (!sourceEnded) {
                source.config().setAutoRead(true);
                onDiscarded.run();
            }
        }
    }

    /** Writes on; to be called when the sink has become writable. */
    public void writePending() {
        if (writing || finished) {
            return;
        }
        if (sink != null) {
            writing = true;
            boolean needsFlush = writePendingParts();
            if (isLastContentDue()) {
                writeLastContent();
            } else if (needsFlush) {
                sink.flush();
            }
            writing = false;
        }
        updateAutoRead();
    }

    // Whether something is left to flush
    private boolean writePendingParts() {
        boolean needsFlush = false;
        while (!finished && !pendingParts.isEmpty() && sink.isWritable()) {
            ByteBuf part = pendingParts.poll();
            int sizeBytes = part.readableBytes() + PART_OVERHEAD_BYTES;
            sink.write(new DefaultHttpContent(part))
                    .addListener(done -> onPartWritten(sizeBytes, done.isSuccess()));
            needsFlush = true;
            if (!sink.isWritable()) {
                // The flush may make it writable at once
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
            // The owner of the sink learns of the close
            sink.close();
        } else if (!writing) {
            updateAutoRead();
        }
    }

    // ---------------------------------------------------------------- flow control

    // Reading goes on once what has arrived is written; with the budget exhausted, read by read
    private void updateAutoRead() {
        if (!finished && !sourceEnded) {
            boolean hasCapacity =
                    sink == null
                            ? bufferedBytes < MAX_BUFFERED_BYTES
                            : pendingParts.isEmpty() && sink.isWritable();
            boolean withinBudget = bufferedBytes == 0 || !bufferBudget.isExhausted();
            source.config().setAutoRead(hasCapacity && withinBudget);
        }
    }

    private void adjustBufferedBytes(int deltaBytes) {
        bufferedBytes += deltaBytes;
        bufferBudget.usedBytes += deltaBytes;
    }

    // The one place in which timers end and buffers that were not written are released
    private void finish() {
        finished = true;
        stallCheck.cancel(false);
        cancelDisconnectCheck();
        for (ByteBuf part = pendingParts.poll(); part != null; part = pendingParts.poll()) {
            adjustBufferedBytes(-part.readableBytes() - PART_OVERHEAD_BYTES);
            part.release();
        }
    }

    private void cancelDisconnectCheck() {
        if (disconnectCheck != null) {
            disconnectCheck.cancel(false);
        }
    }
}
