package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import junctionhead.Policy;
import junctionhead.SettingsReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Which of an upstream's resting connections is used, by a clock that the test sets. */
@Timeout(60)
class UpstreamsTest {
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    private final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
    private FakeUpstream upstream;
    private Upstreams upstreams;

    @BeforeEach
    void open() throws Exception {
        upstream = new FakeUpstream();
        Map<String, String> values = new HashMap<>();
        Config.flatten("", NodeTest.settings(), values);
        SettingsReader.Boot boot =
                SettingsReader.read(values, (path, what) -> new IllegalStateException(path));
        upstreams =
                new Upstreams(
                        loop,
                        boot,
                        new Descriptors(100, false),
                        clock::get,
                        new Events(line -> {}, System::nanoTime),
                        new Metrics(boot.classes()),
                        new Relay.Budget());
        Policy.Server server = new Policy.Server("s1", Policy.State.UP, 0, 1, 0, 0, 0);
        loop.submit(
                        () ->
                                upstreams.listed(
                                        new Targets(
                                                1,
                                                true,
                                                List.of(
                                                        new Targets.Target(
                                                                server,
                                                                Targets.address(
                                                                        upstream.address())))),
                                        clock.get()))
                .sync();
    }

    @AfterEach
    void close() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        upstream.close();
    }

    private FakeUpstream.Got sent(String id) throws InterruptedException {
        Order order =
                new Order(
                        HttpMethod.GET,
                        "/",
                        new DefaultHttpHeaders().set("Req-Id", id),
                        new byte[0],
                        0,
                        0,
                        null,
                        20_000_000,
                        -1,
                        false);
        loop.execute(
                () ->
                        upstreams.send(
                                "s1",
                                order,
                                20_000_000,
                                (outcome, answer, load) -> ended.add(id + " " + outcome)));
        FakeUpstream.Got got = upstream.next();
        assertEquals(id, got.header("Req-Id"));
        return got;
    }

    private void answered(FakeUpstream.Got got, String id)
            throws IOException, InterruptedException {
        got.answer(200, "", "ok");
        assertEquals(id + " OK", ended.poll(20, TimeUnit.SECONDS));
    }

    /**
     * A second answer may come some milliseconds late, least likely on the one that rests for
     * longest.
     */
    @Test
    void aConnectionThatHasJustBeenUsedIsLeftAloneWhereAnotherOneRests() throws Exception {
        FakeUpstream.Got a = sent("a");
        FakeUpstream.Got b = sent("b");
        FakeUpstream.Got c = sent("c");
        answered(a, "a");
        clock.addAndGet(1_000);
        answered(b, "b");
        clock.addAndGet(1_000);
        answered(c, "c");
        // All of them have just been used
        FakeUpstream.Got next = sent("d");
        assertEquals(a.connection(), next.connection());
        clock.addAndGet(9_500);
        // B has rested for long enough, c has not
        next = sent("e");
        assertEquals(b.connection(), next.connection());
        answered(next, "e");
        clock.addAndGet(20_000);
        // The last that was used: others may close
        assertEquals(b.connection(), sent("f").connection());
    }
}
