package junctionhead.net;

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
final class Relay {
    /**
     * Bytes that may wait before there is a sink: a body up to that length is no matter for a
     * relay.
     */
    static final int AHEAD = 64 * 1024;

    // Without a byte moved: one side stands still
    private static final long STILL_NS = 10_000_000_000L;
    private static final long LOOK_MS = 1_000;
    // Bytes of overhead that a part is counted for
    private static final int PART = 128;
    // Between looks for the end of a client whose body waits: a little is read, for it stands
    // behind that.
    private static final long END_LOOK_MS = 100;
    // Held at most for that
    private static final int END_MOST = 4 * AHEAD;

    /**
     * What the relays of a process hold together. Guards against many at a time that each hold
     * little.
     */
    static final class Budget {
        private static final long MOST = 4 << 20;
        private long held;

        private boolean spent() {
            return held >= MOST;
        }
    }

    /** Hears how it ended, once. */
    interface Sink {
        /** All of it has been written to the sink. */
        void whole();

        /** The source broke off: what has been written is not all. */
        void cut();
    }

    private final Channel source;
    private final Budget budget;
    private final Runnable unwanted;
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
    private final Future<?> looking;
    // Null where the source's end is no news
    private final Future<?> lookingForEnd;
    // Null until there is one
    private Channel sink;
    private Sink listener;
    // Waiting, or written and not yet taken by the system
    private long held;
    private long moved = System.nanoTime();
    // The source has given all
    private boolean ended;
    // Of it, held back until the source has been looked at
    private ByteBuf last;
    private boolean lastWritten;
    private boolean flowing;
    private boolean over;

    /**
     * {@code unwanted} runs once if the sink wants no more before the end; {@code watched}: the
     * source's end is looked for while it waits for the sink, too.
     */
    Relay(Channel source, Budget budget, boolean watched, Runnable unwanted) {
        this.source = source;
        this.budget = budget;
        this.unwanted = unwanted;
        looking =
                source.eventLoop()
                        .scheduleWithFixedDelay(
                                this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        lookingForEnd =
                !watched
                        ? null
                        : source.eventLoop()
                                .scheduleWithFixedDelay(
                                        this::lookForEnd,
                                        END_LOOK_MS,
                                        END_LOOK_MS,
                                        TimeUnit.MILLISECONDS);
    }

    private void lookForEnd() {
        if (!over && !ended && holdsBack() && held < END_MOST && !budget.spent()) {
            source.read();
        }
    }

    /** Whether a sink has got any of it: it can't be given to another from the start. */
    boolean begun() {
        return sink != null;
    }

    /** Whether the source has given all. */
    boolean isWhole() {
        return ended;
    }

    /** Whether the source is kept waiting for the sink. */
    boolean holdsBack() {
        return !source.config().isAutoRead();
    }

    // ---------------------------------------------------------------- the source

    /** Takes over a part. */
    void add(ByteBuf part) {
        if (over || !part.isReadable()) {
            part.release();
            return;
        }
        waiting.add(part);
        hold(part.readableBytes() + PART);
        moved = System.nanoTime();
        flow();
    }

    /** The source has given all; what it sends from here on is no part of this. */
    void end() {
        if (!ended) {
            ended = true;
            stopLookingForEnd();
            source.config().setAutoRead(true);
            flow();
        }
    }

    /** The source breaks off. */
    void cut() {
        if (!ended) {
            breakOff();
        }
    }

    private void breakOff() {
        if (!over) {
            finish();
            if (listener != null) {
                listener.cut();
            }
        }
    }

    /**
     * The same, with the last part. It goes on once all that stands behind it has been read: where
     * that is the source's end its client has left, maybe long ago, and its request must not become
     * whole.
     */
    void end(ByteBuf part) {
        if (over || ended) {
            part.release();
            return;
        }
        last = part;
        end();
        source.eventLoop()
                .execute(
                        () -> {
                            if (source.unsafe() instanceof AbstractNioChannel.NioUnsafe socket
                                    && source.isActive()) {
                                socket.read();
                            }
                            ByteBuf rest = last;
                            last = null;
                            if (over || !source.isActive()) {
                                rest.release();
                                breakOff();
                            } else {
                                if (rest.isReadable()) {
                                    hold(rest.readableBytes() + PART);
                                    waiting.add(rest);
                                } else {
                                    rest.release();
                                }
                                flow();
                            }
                        });
    }

    // ---------------------------------------------------------------- the sink

    /** Begins to write, after what has been written there already. */
    void to(Channel channel, Sink then) {
        sink = channel;
        listener = then;
        moved = System.nanoTime();
        if (over) {
            // The source broke off before
            then.cut();
        } else {
            flow();
        }
    }

    /** The sink wants no more. */
    void discard() {
        if (!over) {
            finish();
            if (!ended) {
                source.config().setAutoRead(true);
                unwanted.run();
            }
        }
    }

    /** Goes on, as the sink may have room again. */
    void flow() {
        if (flowing || over) {
            return;
        }
        if (sink != null) {
            flowing = true;
            boolean wrote = false;
            while (!over && !waiting.isEmpty() && sink.isWritable()) {
                ByteBuf part = waiting.poll();
                int size = part.readableBytes() + PART;
                sink.write(new DefaultHttpContent(part))
                        .addListener(done -> taken(size, done.isSuccess()));
                wrote = true;
                if (!sink.isWritable()) {
                    // May make room at once
                    sink.flush();
                    wrote = false;
                }
            }
            if (!over && ended && last == null && waiting.isEmpty() && !lastWritten) {
                lastWritten = true;
                sink.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(
                                done -> {
                                    if (done.isSuccess() && !over) {
                                        finish();
                                        listener.whole();
                                    }
                                });
            } else if (wrote) {
                sink.flush();
            }
            flowing = false;
        }
        pace();
    }

    private void taken(int size, boolean written) {
        hold(-size);
        moved = System.nanoTime();
        if (!written) {
            // Whose it is learns of it there
            sink.close();
        } else if (!flowing) {
            pace();
        }
    }

    // Reads on where what has come is on its way; with the budget spent, one read at a time.
    private void pace() {
        if (!over && !ended) {
            boolean room = sink == null ? held < AHEAD : waiting.isEmpty() && sink.isWritable();
            source.config().setAutoRead(room && (held == 0 || !budget.spent()));
        }
    }

    private void hold(int bytes) {
        held += bytes;
        budget.held += bytes;
    }

    private void finish() {
        over = true;
        looking.cancel(false);
        stopLookingForEnd();
        for (ByteBuf part = waiting.poll(); part != null; part = waiting.poll()) {
            hold(-part.readableBytes() - PART);
            part.release();
        }
    }

    private void stopLookingForEnd() {
        if (lookingForEnd != null) {
            lookingForEnd.cancel(false);
        }
    }

    // Ends what stands still, however slowly it may move. Before there is a sink, others bound the
    // time.
    private void look() {
        if (sink != null && System.nanoTime() - moved > STILL_NS) {
            (held > 0 || ended ? sink : source).close();
        }
    }
}
