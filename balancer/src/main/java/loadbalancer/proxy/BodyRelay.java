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
 * A long body on its way from one connection to another, as fast as the slower of them allows: what
 * is held of it is a few reads at most. Both connections belong to one event loop, and all of it
 * runs there.
 */
public final class BodyRelay {
    /**
     * Bytes that may wait before there is a sink: a body up to that length is no matter for a
     * relay.
     */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;

    // Without a byte moved: one side stands still
    private static final long STALL_TIMEOUT_NS = 10_000_000_000L;
    private static final long STALL_CHECK_INTERVAL_MS = 1_000;
    // Bytes of overhead that a part is counted for
    private static final int PART_OVERHEAD_BYTES = 128;
    // Between looks for the end of a client whose body waits: a little is read, for it stands
    // behind that.
    private static final long DISCONNECT_CHECK_INTERVAL_MS = 100;
    // Held at most for that
    private static final int MAX_DISCONNECT_CHECK_BYTES = 4 * MAX_BUFFERED_BYTES;

    /**
     * What the relays of a process hold together. Guards against many at a time that each hold
     * little.
     */
    public static final class BufferBudget {
        private static final long MAX_BYTES = 4 << 20;
        private long usedBytes;

        private boolean isExhausted() {
            return usedBytes >= MAX_BYTES;
        }
    }

    /** Hears how it ended, once. */
    public interface Listener {
        /** All of it has been written to the sink. */
        void onComplete();

        /** The source broke off: what has been written is not all. */
        void onAborted();
    }

    private final Channel source;
    private final BufferBudget bufferBudget;
    private final Runnable onDiscarded;
    private final ArrayDeque<ByteBuf> pendingParts = new ArrayDeque<>();
    private final Future<?> stallCheck;
    // Null where the source's end is no news
    private final Future<?> disconnectCheck;
    // Null until there is one
    private Channel sink;
    private Listener listener;
    // Waiting, or written and not yet taken by the system
    private long bufferedBytes;
    private long lastProgressNanos = System.nanoTime();
    // The source has given all
    private boolean sourceEnded;
    // Of it, held back until the source has been looked at
    private ByteBuf deferredLastPart;
    private boolean lastContentWritten;
    private boolean writing;
    private boolean finished;

    /**
     * {@code onDiscarded} runs once if the sink wants no more before the end; {@code
     * detectDisconnect}: the source's end is looked for while it waits for the sink, too.
     */
    public BodyRelay(
            Channel source,
            BufferBudget bufferBudget,
            boolean detectDisconnect,
            Runnable onDiscarded) {
        this.source = source;
        this.bufferBudget = bufferBudget;
        this.onDiscarded = onDiscarded;
        stallCheck =
                source.eventLoop()
                        .scheduleWithFixedDelay(
                                this::checkForStall,
                                STALL_CHECK_INTERVAL_MS,
                                STALL_CHECK_INTERVAL_MS,
                                TimeUnit.MILLISECONDS);
        disconnectCheck =
                !detectDisconnect
                        ? null
                        : source.eventLoop()
                                .scheduleWithFixedDelay(
                                        this::checkForDisconnect,
                                        DISCONNECT_CHECK_INTERVAL_MS,
                                        DISCONNECT_CHECK_INTERVAL_MS,
                                        TimeUnit.MILLISECONDS);
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

    /** Whether a sink has got any of it: it can't be given to another from the start. */
    boolean hasStarted() {
        return sink != null;
    }

    /** Whether the source has given all. */
    public boolean isSourceEnded() {
        return sourceEnded;
    }

    /** Whether the source is kept waiting for the sink. */
    public boolean isSourcePaused() {
        return !source.config().isAutoRead();
    }

    // ---------------------------------------------------------------- the source

    /** Takes over a part. */
    public void add(ByteBuf part) {
        if (finished || !part.isReadable()) {
            part.release();
            return;
        }
        pendingParts.add(part);
        adjustBufferedBytes(part.readableBytes() + PART_OVERHEAD_BYTES);
        lastProgressNanos = System.nanoTime();
        writePending();
    }

    /** The source has given all; what it sends from here on is no part of this. */
    public void complete() {
        if (!sourceEnded) {
            sourceEnded = true;
            cancelDisconnectCheck();
            source.config().setAutoRead(true);
            writePending();
        }
    }

    /** The source breaks off. */
    public void abort() {
        if (!sourceEnded) {
            abortNow();
        }
    }

    private void abortNow() {
        if (!finished) {
            finish();
            if (listener != null) {
                listener.onAborted();
            }
        }
    }

    /**
     * The same, with the last part. It goes on once all that stands behind it has been read: where
     * that is the source's end its client has left, maybe long ago, and its request must not become
     * whole.
     */
    public void complete(ByteBuf part) {
        if (finished || sourceEnded) {
            part.release();
            return;
        }
        deferredLastPart = part;
        complete();
        source.eventLoop()
                .execute(
                        () -> {
                            if (source.unsafe() instanceof AbstractNioChannel.NioUnsafe socket
                                    && source.isActive()) {
                                socket.read();
                            }
                            ByteBuf lastPart = deferredLastPart;
                            deferredLastPart = null;
                            if (finished || !source.isActive()) {
                                lastPart.release();
                                abortNow();
                            } else {
                                if (lastPart.isReadable()) {
                                    adjustBufferedBytes(
                                            lastPart.readableBytes() + PART_OVERHEAD_BYTES);
                                    pendingParts.add(lastPart);
                                } else {
                                    lastPart.release();
                                }
                                writePending();
                            }
                        });
    }

    // ---------------------------------------------------------------- the sink

    /** Begins to write, after what has been written there already. */
    public void writeTo(Channel channel, Listener completionListener) {
        sink = channel;
        listener = completionListener;
        lastProgressNanos = System.nanoTime();
        if (finished) {
            // The source broke off before
            completionListener.onAborted();
        } else {
            writePending();
        }
    }

    /** The sink wants no more. */
    public void discard() {
        if (!finished) {
            finish();
            if (!sourceEnded) {
                source.config().setAutoRead(true);
                onDiscarded.run();
            }
        }
    }

    /** Goes on, as the sink may have room again. */
    public void writePending() {
        if (writing || finished) {
            return;
        }
        if (sink != null) {
            writing = true;
            boolean needsFlush = false;
            while (!finished && !pendingParts.isEmpty() && sink.isWritable()) {
                ByteBuf part = pendingParts.poll();
                int sizeBytes = part.readableBytes() + PART_OVERHEAD_BYTES;
                sink.write(new DefaultHttpContent(part))
                        .addListener(done -> onPartWritten(sizeBytes, done.isSuccess()));
                needsFlush = true;
                if (!sink.isWritable()) {
                    // May make room at once
                    sink.flush();
                    needsFlush = false;
                }
            }
            if (!finished
                    && sourceEnded
                    && deferredLastPart == null
                    && pendingParts.isEmpty()
                    && !lastContentWritten) {
                lastContentWritten = true;
                sink.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(
                                done -> {
                                    if (done.isSuccess() && !finished) {
                                        finish();
                                        listener.onComplete();
                                    }
                                });
            } else if (needsFlush) {
                sink.flush();
            }
            writing = false;
        }
        updateAutoRead();
    }

    private void onPartWritten(int sizeBytes, boolean success) {
        adjustBufferedBytes(-sizeBytes);
        lastProgressNanos = System.nanoTime();
        if (!success) {
            // Whose it is learns of it there
            sink.close();
        } else if (!writing) {
            updateAutoRead();
        }
    }

    // Reads on where what has come is on its way; with the budget spent, one read at a time.
    private void updateAutoRead() {
        if (!finished && !sourceEnded) {
            boolean hasCapacity =
                    sink == null
                            ? bufferedBytes < MAX_BUFFERED_BYTES
                            : pendingParts.isEmpty() && sink.isWritable();
            source.config()
                    .setAutoRead(
                            hasCapacity && (bufferedBytes == 0 || !bufferBudget.isExhausted()));
        }
    }

    private void adjustBufferedBytes(int deltaBytes) {
        bufferedBytes += deltaBytes;
        bufferBudget.usedBytes += deltaBytes;
    }

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

    // Ends what stands still, however slowly it may move. Before there is a sink, others bound the
    // time.
    private void checkForStall() {
        if (sink != null && System.nanoTime() - lastProgressNanos > STALL_TIMEOUT_NS) {
            (bufferedBytes > 0 || sourceEnded ? sink : source).close();
        }
    }
}
