package junctionhead.lab.stand;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Discovery's agent on the machine of one balancer: the whole list, watches, and the ways in which
 * news don't come. What it has been told comes late, by the scenario; what it has, it answers at
 * once.
 */
public final class Agent {
    // µs between empty lines of a watch
    private static final long BEAT = 2_000_000;
    private static final int REQUEST_MOST = 4 << 10;

    private final World world;
    private final int balancer;
    private final UniformRandomProvider random;
    private final Function<Listing, Map<String, Object>> entry;
    private final Map<Integer, Listing> list = new LinkedHashMap<>();
    // Change i has revision FIRST + i + 1
    private final List<Listing> changes = new ArrayList<>();
    private final List<Listing> withheld = new ArrayList<>();
    private final Set<Conversation> conversations = new LinkedHashSet<>();
    private Gate gate;
    private long lastNews;
    private long late;
    private int silent;
    private int stale;
    private int denied;
    private long calls;

    private static final long FIRST = 1;

    /** {@code entry} writes a listing as this balancer is to see it. */
    Agent(
            World world,
            int balancer,
            UniformRandomProvider random,
            List<Listing> first,
            Function<Listing, Map<String, Object>> entry) {
        this.world = world;
        this.balancer = balancer;
        this.random = random;
        this.entry = entry;
        first.forEach(listing -> list.put(listing.server(), listing));
    }

    void open(Addresses addresses) throws IOException {
        gate = new Gate(world, addresses.parties(balancer), this::arrived);
        gate.open();
        world.loop().execute(this::beat);
    }

    InetSocketAddress address() {
        return gate.address();
    }

    private long rev() {
        return FIRST + changes.size();
    }

    /** Something has changed: the agent hears of it after the delay of news. */
    void news(Listing listing) {
        List<Double> delay = world.scenario().network().newsDelayMs();
        long drawn =
                Math.round(
                        1e3 * (delay.get(0) + random.nextDouble() * (delay.get(1) - delay.get(0))));
        lastNews = Math.max(lastNews, world.now() + drawn + late);
        world.at(lastNews, () -> heard(listing));
    }

    private void heard(Listing listing) {
        if (stale > 0) {
            withheld.add(listing);
            return;
        }
        if (listing.state().equals(Listing.GONE)) {
            list.remove(listing.server());
        } else {
            list.put(listing.server(), listing);
        }
        changes.add(listing);
        conversations.forEach(Conversation::look);
    }

    void late(long by) {
        late += by;
    }

    void silent(boolean on) {
        silent += on ? 1 : -1;
        conversations.forEach(Conversation::look);
    }

    void stale(boolean on) {
        stale += on ? 1 : -1;
        if (stale == 0) {
            List<Listing> held = new ArrayList<>(withheld);
            withheld.clear();
            held.forEach(this::heard);
        }
    }

    void deny(boolean on) {
        denied += on ? 1 : -1;
        gate.set(denied > 0 ? Gate.State.SHUT : Gate.State.OPEN);
        if (denied > 0) {
            new ArrayList<>(conversations).forEach(c -> c.channel.close());
        }
    }

    private void beat() {
        conversations.forEach(Conversation::beat);
        world.loop().schedule(this::beat, BEAT, java.util.concurrent.TimeUnit.MICROSECONDS);
    }

    /** The list in discovery's form, as this balancer last could have it. */
    Map<String, Object> known() {
        return message(rev(), true, new ArrayList<>(list.values()));
    }

    private Map<String, Object> message(long rev, boolean all, List<Listing> entries) {
        return Map.of("rev", rev, "all", all, "targets", entries.stream().map(entry).toList());
    }

    private void told(List<Listing> entries) {
        entries.forEach(l -> world.rules().told(balancer, l.server(), l.up(), world.now()));
    }

    /** Calls for the list, watches included. */
    public long calls() {
        return calls;
    }

    private void arrived(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(REQUEST_MOST),
                        new Conversation(channel));
    }

    /** One connection: whole lists on demand, or a watch from then on. */
    private final class Conversation extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        // Not answered yet, or null
        private String asked;
        // Of a watch: the last revision written
        private long sent = -1;

        Conversation(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            conversations.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            conversations.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            calls++;
            asked = request.uri();
            look();
        }

        void look() {
            if (silent > 0) {
                return;
            }
            if (asked != null) {
                String uri = asked;
                asked = null;
                if (uri.startsWith("/api/targets?watch=1&from=")) {
                    begin(uri.substring(uri.lastIndexOf('=') + 1));
                } else {
                    whole(uri.equals("/api/targets"));
                }
            }
            if (sent >= 0 && sent < rev()) {
                List<Listing> after = changes.subList((int) (sent - FIRST), changes.size());
                line(message(rev(), false, after));
                told(after);
                sent = rev();
            }
        }

        private void whole(boolean found) {
            ByteBuf body =
                    Unpooled.copiedBuffer(found ? Json.text(known()) : "", StandardCharsets.UTF_8);
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            found ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND,
                            body);
            HttpUtil.setContentLength(answer, body.readableBytes());
            channel.writeAndFlush(answer);
            told(new ArrayList<>(list.values()));
            gone();
        }

        private void begin(String from) {
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
            channel.write(head);
            long rev = from.matches("\\d{1,18}") ? Long.parseLong(from) : -1;
            if (rev >= FIRST && rev <= rev()) {
                sent = rev;
                if (rev == rev()) {
                    beat();
                }
                return;
            }
            line(known());
            told(new ArrayList<>(list.values()));
            gone();
            sent = rev();
        }

        // A whole list tells of what has gone by leaving it out.
        private void gone() {
            changes.stream()
                    .filter(l -> !list.containsKey(l.server()))
                    .forEach(l -> world.rules().told(balancer, l.server(), false, world.now()));
        }

        void beat() {
            if (sent >= 0 && silent == 0) {
                write("\n");
            }
        }

        private void line(Map<String, Object> message) {
            write(Json.text(message) + "\n");
        }

        private void write(String text) {
            channel.writeAndFlush(
                    new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
        }
    }

    void close() {
        gate.close();
    }
}
