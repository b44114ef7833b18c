package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import junctionhead.Balance;
import junctionhead.SettingsReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Watches that fall silent, break or are replaced, where lists are pushed. */
@Timeout(60)
class DiscoveryTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> news = new LinkedBlockingQueue<>();
    private FakeUpstream agent;
    private Discovery discovery;

    @BeforeEach
    void open() throws IOException {
        agent = new FakeUpstream();
        Map<String, Object> settings = new HashMap<>(NodeTest.settings());
        settings.put("MembershipMode", "push");
        Map<String, String> values = new HashMap<>();
        Config.flatten("", settings, values);
        SettingsReader.Boot boot =
                SettingsReader.read(values, (path, what) -> new IllegalStateException(path));
        discovery =
                new Discovery(
                        loop,
                        Targets.address(agent.address()),
                        boot,
                        41,
                        (kind, targets) ->
                                news.add(
                                        kind
                                                + " "
                                                + (targets == null
                                                        ? ""
                                                        : targets.rev()
                                                                + " "
                                                                + targets.list().stream()
                                                                        .map(t -> t.server().id())
                                                                        .toList())),
                        line -> {});
        loop.execute(discovery::start);
    }

    @AfterEach
    void close() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        agent.close();
    }

    private static String list(int rev, boolean all, String id) {
        return "{\"rev\":"
                + rev
                + ",\"all\":"
                + all
                + ",\"targets\":[{\"uid\":\""
                + id
                + "\",\"endpoint\":\"127.0.0.1:80\",\"state\":\"in_service\"}]}";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private FakeUpstream.Got watchFrom(int rev) throws InterruptedException {
        FakeUpstream.Got watch = agent.next();
        assertEquals("GET /api/targets?watch=1&from=" + rev + " HTTP/1.1", watch.line());
        return watch;
    }

    /**
     * Answers the newest watch from there until one has heard: a call is given up while a test is
     * slow.
     */
    private FakeUpstream.Got answers(int rev, String text, String expected) throws Exception {
        while (true) {
            FakeUpstream.Got watch = watchFrom(rev);
            while (!agent.isEmpty()) {
                watch = watchFrom(rev);
            }
            try {
                watch.raw(HEAD + chunk(text));
            } catch (IOException e) {
                // Given up before
                continue;
            }
            String heard = news.poll(2, TimeUnit.SECONDS);
            if (heard != null) {
                assertEquals(expected, heard);
                return watch;
            }
        }
    }

    private String heard() throws InterruptedException {
        return String.valueOf(news.poll(20, TimeUnit.SECONDS));
    }

    /**
     * As while discovery is down: what the agent gets at its return has to be heard within the
     * grace.
     */
    @Test
    void aWatchThatIsSilentFromItsFirstByteIsOpenedAnewWithinTheGraceOfDrains() throws Exception {
        FakeUpstream.Got silent = watchFrom(41);
        long asked = System.nanoTime();
        watchFrom(41);
        assertTrue(System.nanoTime() - asked < 1_000_000_000L);
        assertTrue(silent.closedByPeer());
        answers(41, list(51, true, "new") + "\n", "COMPLETE 51 [new]");
    }

    /**
     * As of an agent that takes nothing in: a connect that waits may be noticed seconds after it is
     * back.
     */
    @Test
    void aWatchWhoseConnectionDoesNotComeUpIsTriedAnewWithinTheGraceOfDrains() throws Exception {
        watchFrom(41);
        try (ClosedDoor down = new ClosedDoor()) {
            loop.execute(() -> discovery.move(Targets.address(down.address())));
            // Its first packets have been dropped by then
            long lost = System.nanoTime() + 1_100_000_000;
            while (System.nanoTime() < lost) {
                Thread.onSpinWait();
            }
            long back = System.nanoTime();
            assertTrue(FakeUpstream.head(down.open().getInputStream()).contains("watch=1&from=41"));
            assertTrue(System.nanoTime() - back < 700_000_000L);
        }
    }

    /**
     * What it misses counts as told 6 s after it fell silent, whether that is amid a list or
     * between two.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "{\"rev\":43,\"all\":fal"})
    void aWatchThatFallsSilentIsOpenedAnewBeforeWhatItMissesCountsAsTold(String half)
            throws Exception {
        FakeUpstream.Got watch = answers(41, list(42, true, "a") + "\n", "COMPLETE 42 [a]");
        if (!half.isEmpty()) {
            watch.raw(chunk(half));
        }
        long silent = System.nanoTime();
        answers(42, list(43, false, "b") + "\n", "PARTIAL 43 [b]");
        assertTrue(System.nanoTime() - silent < 6_000_000_000L);
    }

    /**
     * One clock for all of it: the watch falls silent, the next call is given up, the one after
     * that reset, and each is followed by a pause. It is the module that asks again where lists are
     * asked for.
     */
    @ParameterizedTest
    @CsvSource({"push,2", "ask,1"})
    void whatFailsInARowAfterAWatchFellSilentIsOverBeforeWhatItMissedCountsAsTold(
            String mode, int givenUp) throws Exception {
        try (FakeUpstream asked = new FakeUpstream()) {
            Map<String, Object> settings = new HashMap<>(NodeTest.settings());
            settings.put("MembershipMode", mode);
            settings.put(
                    "Rules",
                    Map.of(
                            "AnswerSlack",
                            8_000,
                            "DrainGrace",
                            2_800_000,
                            "AskWithin",
                            10_000_000,
                            "ColdFrom",
                            0.3,
                            "RampTime",
                            8_400_000,
                            "OverloadFactor",
                            3.0,
                            "Fall",
                            1_000_000));
            Node node =
                    new Node(
                            Config.of(
                                    Map.of(),
                                    Map.of(
                                            "name",
                                            "n1",
                                            "listen",
                                            "127.0.0.1:0",
                                            "discovery",
                                            asked.address(),
                                            "seed",
                                            "1",
                                            "settings",
                                            settings)),
                            Balance::new,
                            false,
                            line -> {});
            try {
                node.start();
                FakeUpstream.Got watch = asked.next();
                watch.raw(HEAD + chunk(list(42, true, "a") + "\n"));
                long silent = System.nanoTime();
                FakeUpstream.Got next = asked.next();
                while (!next.line().contains("from=42")) {
                    // The first was given up while the test was slow
                    watch = next;
                    watch.raw(HEAD + chunk(list(42, true, "a") + "\n"));
                    silent = System.nanoTime();
                    next = asked.next();
                }
                for (int i = 0; i < givenUp; i++) {
                    assertTrue(next.closedByPeer());
                    next = asked.next();
                }
                next.reset();
                // Answered at once, this one would tell it
                asked.next();
                long after = System.nanoTime() - silent;
                assertTrue(after < 5_900_000_000L, after / 1_000_000 + " ms");
            } finally {
                node.stop();
            }
        }
    }

    /**
     * Half a list, and the empty lines that come while nothing changes: what follows would be lost
     * in it.
     */
    @Test
    void aListThatNeverEndsIsGivenUpThoughLinesGoOn() throws Exception {
        FakeUpstream.Got watch = answers(41, list(42, true, "a") + "\n", "COMPLETE 42 [a]");
        watch.raw(chunk("{\"rev\":43,\n"));
        loop.scheduleWithFixedDelay(
                () -> {
                    try {
                        watch.raw(chunk("\n"));
                    } catch (IOException e) {
                        // It has been closed: this task ends
                        throw new UncheckedIOException(e);
                    }
                },
                0,
                500,
                TimeUnit.MILLISECONDS);
        answers(42, list(43, false, "b") + "\n", "PARTIAL 43 [b]");
    }

    @Test
    void aWatchThatIsResetAsAChangeIsOnItsWayGoesOnFromTheLastWholeOne() throws Exception {
        FakeUpstream.Got watch = answers(41, list(42, true, "a") + "\n", "COMPLETE 42 [a]");
        watch.raw(chunk("{\"rev\":43,"));
        watch.reset();
        FakeUpstream.Got next = answers(42, "\n", "PARTIAL 42 []");
        next.raw(chunk(list(43, false, "b") + "\n"));
        assertEquals("PARTIAL 43 [b]", heard());
    }

    @Test
    void listsMayStandOnManyLinesAndComeInPieces() throws Exception {
        // Nothing has changed so far
        FakeUpstream.Got watch = answers(41, "  \n", "PARTIAL 41 []");
        String text =
                JSON.std
                        .with(JSON.Feature.PRETTY_PRINT_OUTPUT)
                        .asString(JSON.std.mapFrom(list(42, true, "odd } \\\" {")));
        assertTrue(text.lines().count() > 3, text);
        for (int i = 0; i < text.length(); i += 7) {
            watch.raw(chunk(text.substring(i, Math.min(text.length(), i + 7))));
        }
        assertEquals("COMPLETE 42 [odd } \" {]", heard());
        watch.raw(
                chunk("\n\n" + list(43, false, "b").replace(",", ",\n  ") + list(44, false, "c")));
        assertEquals("PARTIAL 43 [b]", heard());
        assertEquals("PARTIAL 44 [c]", heard());
    }

    @Test
    void anOlderRevisionNeverOverwritesANewerOne() throws Exception {
        FakeUpstream.Got watch = answers(41, list(45, true, "a") + "\n", "COMPLETE 45 [a]");
        loop.execute(discovery::fetch);
        FakeUpstream.Got fetch = agent.next();
        assertEquals("GET /api/targets HTTP/1.1", fetch.line());
        watch.raw(chunk(list(46, false, "b") + "\n" + list(44, false, "old") + "\n"));
        assertEquals("PARTIAL 46 [b]", heard());
        fetch.answer(200, "", list(45, true, "old"));
        assertTrue(fetch.closedByPeer());
        watch.raw(chunk(list(47, false, "c") + "\n"));
        assertEquals("PARTIAL 47 [c]", heard());
    }

    /** As after SIGHUP, while the old watch is silent, broken off or amid a list. */
    @ParameterizedTest
    @ValueSource(strings = {"silent", "reset", "{\"rev\":43,"})
    void anotherAddressIsAskedAtOnceWhateverBecameOfTheOldWatch(String state) throws Exception {
        FakeUpstream.Got watch = answers(41, list(42, true, "a") + "\n", "COMPLETE 42 [a]");
        if (state.equals("reset")) {
            watch.reset();
        } else if (!state.equals("silent")) {
            watch.raw(chunk(state));
        }
        try (FakeUpstream other = new FakeUpstream()) {
            loop.execute(() -> discovery.move(Targets.address(other.address())));
            FakeUpstream.Got moved = other.next();
            assertEquals("GET /api/targets?watch=1&from=42 HTTP/1.1", moved.line());
            if (state.equals("silent")) {
                assertTrue(watch.closedByPeer());
            }
            moved.raw(HEAD + chunk(list(7, true, "elsewhere") + "\n"));
            // It counts for itself
            assertEquals("COMPLETE 7 [elsewhere]", heard());
        }
    }
}
