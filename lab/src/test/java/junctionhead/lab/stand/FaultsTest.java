package junctionhead.lab.stand;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.rules.Call;
import junctionhead.lab.rules.Order;
import junctionhead.lab.rules.RuleBook;
import junctionhead.lab.scenario.ScenarioReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each kind of fault is seen to happen, on the path or party that it names and on no other. */
@Timeout(60)
class FaultsTest {
    // Nothing comes within it
    private static final int SHORT_MS = 400;

    private World world;
    private Stage stage;
    private Director director;
    private Plan plan;
    private final List<AutoCloseable> open = new ArrayList<>();
    private int calls;

    // Three balancers, played by the test, and three servers, one of each in each zone.
    private void stage(String fault) throws IOException {
        plan =
                Plan.of(
                        ScenarioReader.parse(
                                "s.toml",
                                """
            length_s = 10
            [fleet]
            balancers = 3
            zones = ["a", "b", "c"]
            [upstreams]
            count = 3
            [network]
            peer_delay_ms = [0, 0]
            news_delay_ms = [0, 0]
            [[class]]
            name = "x"
            work_ms = [1, 1]
            [[class]]
            name = "y"
            [[fault]]
            at_s = 0
            until_s = 10
            """
                                        + fault.replace("; ", "\n").replace('`', '"')
                                        + "\n",
                                false),
                        1);
        RuleBook rules = new RuleBook(plan.scenario(), breach -> {});
        world = new World(plan, rules);
        stage = new Stage(world);
        director = new Director(world, stage);
        world.beginsIn(0);
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable socket : open) {
            socket.close();
        }
        stage.close();
        world.close();
    }

    private void set(boolean on) {
        world.loop().submit(() -> director.set(plan.faults().get(0), on)).syncUninterruptibly();
    }

    private Socket connect(int balancer, int server) throws IOException {
        Socket socket = new Socket();
        open.add(socket);
        socket.connect(stage.server(server).address(balancer), SHORT_MS);
        socket.setSoTimeout(SHORT_MS);
        return socket;
    }

    /** Sends a request of the first class on a connection, and returns the status of its answer. */
    private int ask(Socket socket, int balancer) throws IOException {
        String id = "r" + calls++;
        world.loop()
                .submit(
                        () ->
                                world.rules()
                                        .taken(
                                                new Call(
                                                        id,
                                                        new Order(
                                                                new Plan.Arrival(
                                                                        0, 0, 0, 0, 1000, false)),
                                                        5_000_000),
                                                balancer,
                                                world.now()))
                .syncUninterruptibly();
        socket.getOutputStream()
                .write(
                        ("GET /api HTTP/1.1\r\nReq-Id: " + id + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        return status(socket);
    }

    private static int status(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String first = in.readLine();
        if (first == null) {
            throw new SocketException("ended");
        }
        int length = 0;
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            length =
                    line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")
                            ? Integer.parseInt(line.substring(15).strip())
                            : length;
        }
        for (int i = 0; i < length; i++) {
            in.read();
        }
        return Integer.parseInt(first.split(" ")[1]);
    }

    private int ask(int balancer, int server) throws IOException {
        return ask(connect(balancer, server), balancer);
    }

    private void back(int balancer, int server) {
        await().ignoreExceptions()
                .atMost(Duration.ofSeconds(10))
                .until(() -> ask(balancer, server) == 200);
    }

    @Test
    void aCutPathHoldsItsConnectionsAndNoOther() throws IOException {
        stage("kind = `cut`; on = `balancers:0`; to = `upstreams:0`");
        Socket held = connect(0, 0);
        assertEquals(200, ask(held, 0));
        set(true);
        assertThrows(SocketTimeoutException.class, () -> ask(held, 0));
        // The way in is shut just after the way through
        await().until(() -> assertThrowsTimeout(0, 0));
        assertEquals(200, ask(0, 1));
        assertEquals(200, ask(1, 0));
        set(false);
        // Nothing was lost
        assertEquals(200, status(held));
        back(0, 0);
    }

    private boolean assertThrowsTimeout(int balancer, int server) throws IOException {
        try {
            connect(balancer, server);
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    @Test
    void aCutOneWayLetsTheOtherWayPass() throws IOException {
        stage("kind = `cut`; on = `upstreams:0`; to = `balancers:0`; one_way = true");
        Socket held = connect(0, 0);
        assertEquals(200, ask(held, 0));
        set(true);
        assertThrows(SocketTimeoutException.class, () -> ask(held, 0));
        // It came, and its answer did not
        assertEquals(1, world.rules().call("r1").runs().size());
        set(false);
        assertEquals(200, status(held));
    }

    @Test
    void whatIsRefusedIsRefusedThereOnly() throws IOException {
        stage("kind = `refuse`; on = `balancers:0`; to = `upstreams:0`");
        set(true);
        await().ignoreExceptions()
                .until(() -> assertThrows(ConnectException.class, () -> connect(0, 0)) != null);
        assertEquals(200, ask(0, 1));
        assertEquals(200, ask(1, 0));
        set(false);
        back(0, 0);
    }

    @Test
    void aResetEndsTheConnectionsOfItsPathOnly() throws IOException {
        stage("kind = `reset`; on = `balancers:0`; to = `upstreams:0`");
        Socket here = connect(0, 0);
        Socket there = connect(1, 0);
        assertEquals(200, ask(here, 0));
        assertEquals(200, ask(there, 1));
        set(true);
        assertThrows(SocketException.class, () -> ask(here, 0));
        assertEquals(200, ask(there, 1));
        assertEquals(200, ask(0, 0));
    }

    @ParameterizedTest
    @CsvSource({
        "'kind = `delay`; delay_ms = 150', 150",
        "'kind = `loss`; amount = 1.0', 200",
        "'kind = `thin`; amount = 250.0', 140"
    })
    void whatIsDelayedComesLaterByThatMuch(String fault, long least) throws IOException {
        stage(fault + "; on = `balancers:0`; to = `upstreams:0`");
        Socket slow = connect(0, 0);
        slow.setSoTimeout(10_000);
        assertEquals(200, ask(slow, 0));
        set(true);
        long began = System.nanoTime();
        assertEquals(200, ask(slow, 0));
        long took = (System.nanoTime() - began) / 1_000_000;
        assertTrue(took >= least, took + " ms");
    }

    @Test
    void aCrashedServerRefusesAndComesBackColdAndListed() throws IOException {
        stage("kind = `crash`; on = `upstreams:0`");
        Socket held = connect(1, 0);
        assertEquals(200, ask(held, 1));
        set(true);
        assertThrows(SocketException.class, () -> ask(held, 1));
        await().ignoreExceptions()
                .until(() -> assertThrows(ConnectException.class, () -> connect(0, 0)) != null);
        await().until(() -> list(0).size() == 2);
        set(false);
        back(0, 0);
        await().until(() -> list(0).size() == 3);
        assertTrue(stage.server(0).coldWorst() > 0, "its budget is counted");
    }

    private List<?> list(int balancer) throws Exception {
        return (List<?>)
                world.loop().submit(() -> stage.agent(balancer).known()).get().get("targets");
    }

    @Test
    void aVanishedServerSaysNothing() throws IOException {
        stage("kind = `vanish`; on = `upstreams:0`");
        Socket held = connect(1, 0);
        assertEquals(200, ask(held, 1));
        set(true);
        assertThrows(SocketTimeoutException.class, () -> ask(held, 1));
        await().until(() -> assertThrowsTimeout(0, 0));
        assertEquals(200, ask(0, 1));
    }

    @Test
    void aHangingServerTakesWhatComesAndAnswersWhenItGoesOn() throws IOException {
        stage("kind = `hang`; on = `upstreams:0`");
        set(true);
        Socket waits = connect(0, 0);
        assertThrows(SocketTimeoutException.class, () -> ask(waits, 0));
        set(false);
        assertEquals(200, status(waits));
    }

    @ParameterizedTest
    @CsvSource({"x, 500", "y, 200"})
    void aServerFailsTheClassThatIsNamed(String requestClass, int status) throws IOException {
        stage("kind = `fail`; on = `upstreams:0`; class = `" + requestClass + "`");
        set(true);
        assertEquals(status, ask(0, 0));
        assertEquals(200, ask(0, 1));
        set(false);
        assertEquals(200, ask(0, 0));
    }

    @Test
    void aSlowServerIsSlowerByThatMuch() throws IOException {
        stage("kind = `slow`; amount = 200; on = `upstreams:0`");
        set(true);
        long began = System.nanoTime();
        assertEquals(200, ask(0, 0));
        assertTrue(System.nanoTime() - began >= 200_000_000, "1 ms of work took 200");
    }

    @Test
    void aReplacedServerDrainsAndHasASuccessor() throws IOException {
        stage("kind = `replace`; on = `upstreams:0`");
        set(true);
        assertEquals(503, ask(0, 0));
        await().until(() -> list(0).toString().contains("terminating"));
        set(false);
        back(0, 3);
        await().ignoreExceptions()
                .until(() -> assertThrows(ConnectException.class, () -> connect(0, 0)) != null);
        await().until(() -> !list(0).toString().contains("terminating") && list(0).size() == 3);
    }

    // ------------------------------------------------------------ discovery

    private String call(int balancer) throws IOException {
        try (Socket socket = new Socket()) {
            InetSocketAddress at = stage.agent(balancer).address();
            socket.connect(at, SHORT_MS);
            socket.setSoTimeout(SHORT_MS);
            String request = "GET /api/targets HTTP/1.1\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        }
    }

    private void crash() {
        world.loop()
                .submit(
                        () -> {
                            stage.server(2).crash();
                            stage.news(new Listing(2, Listing.GONE, 0));
                        })
                .syncUninterruptibly();
    }

    @Test
    void aSilentDiscoveryTakesCallsAndSaysNothing() throws IOException {
        stage("kind = `silent`; on = `balancers:0`");
        set(true);
        assertThrows(SocketTimeoutException.class, () -> call(0));
        assertEquals("HTTP/1.1 200 OK", call(1));
        set(false);
        assertEquals("HTTP/1.1 200 OK", call(0));
    }

    @Test
    void aDiscoveryThatDeniesRefusesItsBalancersOnly() throws IOException {
        stage("kind = `deny`; on = `balancers:0`");
        set(true);
        await().ignoreExceptions()
                .until(() -> assertThrows(ConnectException.class, () -> call(0)) != null);
        assertEquals("HTTP/1.1 200 OK", call(1));
        set(false);
        await().ignoreExceptions().until(() -> call(0).equals("HTTP/1.1 200 OK"));
    }

    @Test
    void aStaleDiscoveryAnswersWithWhatItKnew() throws Exception {
        stage("kind = `stale`; on = `balancers:0`");
        set(true);
        crash();
        await().until(() -> list(1).size() == 2);
        assertEquals(3, list(0).size());
        assertEquals("HTTP/1.1 200 OK", call(0));
        set(false);
        await().until(() -> list(0).size() == 2);
    }

    @Test
    void lateNewsComeLate() throws Exception {
        stage("kind = `late`; delay_ms = 600; on = `balancers:0`");
        set(true);
        crash();
        await().until(() -> list(1).size() == 2);
        assertEquals(3, list(0).size());
        await().until(() -> list(0).size() == 2);
    }

    // ------------------------------------------------------------ datagrams

    private DatagramSocket home(int balancer) throws IOException {
        DatagramSocket socket = new DatagramSocket(stage.mesh().home(balancer));
        open.add(socket);
        socket.setSoTimeout(SHORT_MS);
        return socket;
    }

    private void send(DatagramSocket from, int balancer, int to, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        String[] at = stage.mesh().peers(balancer).get(to).split(":");
        from.send(
                new DatagramPacket(
                        bytes,
                        bytes.length,
                        new InetSocketAddress(at[0], Integer.parseInt(at[1]))));
    }

    /** What comes within a moment. */
    private static List<String> received(DatagramSocket at) throws IOException {
        List<String> all = new ArrayList<>();
        try {
            while (true) {
                DatagramPacket packet = new DatagramPacket(new byte[300], 300);
                at.receive(packet);
                all.add(
                        new String(
                                packet.getData(),
                                0,
                                packet.getLength(),
                                StandardCharsets.US_ASCII));
            }
        } catch (SocketTimeoutException e) {
            return all;
        }
    }

    private List<List<String>> exchange() throws IOException {
        DatagramSocket[] homes = {home(0), home(1), home(2)};
        for (int i = 0; i < 3; i++) {
            for (int j = 0; j < 3; j++) {
                if (i != j) {
                    send(homes[i], i, j, i + "to" + j);
                }
            }
        }
        List<List<String>> got = new ArrayList<>();
        for (DatagramSocket home : homes) {
            got.add(received(home).stream().sorted().toList());
        }
        return got;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = {
                "on = `balancers:0`; to = `balancers:1`; one_way = true | 1to0 2to0 | 2to1 | 0to2 1to2",
                "on = `balancers:0`; to = `balancers:1` | 2to0 | 2to1 | 0to2 1to2",
                "on = `balancers:0`; to = `balancers`; one_way = true | 1to0 2to0 | 2to1 | 1to2",
                "on = `zone:c`; to = `zone:a` | 1to0 | 0to1 2to1 | 1to2",
            })
    void aCutBetweenBalancersLosesWhatItShouldAndNoOther(
            String paths, String first, String second, String third) throws IOException {
        stage("kind = `cut`; " + paths);
        set(true);
        assertEquals(
                List.of(first, second, third),
                exchange().stream().map(l -> String.join(" ", l)).toList());
    }

    @Test
    void repeatsComeTwiceAndLossLosesAll() throws IOException {
        stage(
                "kind = `repeat`; amount = 1.0; delay_ms = 20; on = `balancers:0`; to = `balancers:1`; "
                        + "one_way = true");
        set(true);
        assertEquals(List.of("0to1", "0to1", "2to1"), exchange().get(1));
    }

    @Test
    void lostDatagramsDoNotCome() throws IOException {
        stage("kind = `loss`; amount = 1.0; on = `balancers:0`; to = `balancers:1`");
        set(true);
        assertEquals(List.of("2to1"), exchange().get(1));
    }

    @Test
    void changedOrderLosesNothing() throws IOException {
        stage(
                "kind = `reorder`; amount = 0.5; delay_ms = 30; on = `balancers:0`; to = `balancers:1`");
        set(true);
        DatagramSocket from = home(0);
        DatagramSocket to = home(1);
        List<String> sent = new ArrayList<>();
        for (int i = 10; i < 50; i++) {
            sent.add("m" + i);
            send(from, 0, 1, "m" + i);
        }
        List<String> got = received(to);
        assertFalse(got.equals(sent), "in order");
        assertEquals(sent, got.stream().sorted().toList());
    }

    @Test
    void aDatagramForAllGoesToAllOthers() throws IOException {
        stage("kind = `cut`; on = `balancers:0`; to = `balancers:1`");
        DatagramSocket[] homes = {home(0), home(1), home(2)};
        String[] at = stage.mesh().everyone(0).split(":");
        homes[0].send(
                new DatagramPacket(
                        new byte[] {'x'},
                        1,
                        new InetSocketAddress(at[0], Integer.parseInt(at[1]))));
        assertEquals(List.of("x"), received(homes[1]));
        assertEquals(List.of("x"), received(homes[2]));
        assertEquals(List.of(), received(homes[0]));
    }
}
