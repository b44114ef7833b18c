import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins that the cases of the review share: discovery's agent, upstreams, clients, and the
 * platform that starts balancers with the command of the deploy file. Blocking sockets, one thread
 * for each connection, loopback addresses only.
 */
public final class Stand {
    public static final int HELD = 0;
    public static final int BROKEN = 1;
    public static final int NOT_RUN = 2;

    private Stand() {}

    /** A case: returns HELD, BROKEN or NOT_RUN. */
    public interface Case {
        int run(Record record, Path directory, boolean trouble) throws Exception;
    }

    /**
     * Runs a case with a temporary folder and ends the process with its result. Anything that goes
     * wrong in the case itself is NOT_RUN.
     *
     * @param args the path of record.txt
     */
    public static void runCase(String[] args, Case toRun) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Files.createTempDirectory("review-case");
        int result = NOT_RUN;
        try (Record record = new Record(Path.of(args[0]))) {
            record.say("disruption: %s", trouble ? "on" : "off");
            try {
                result = toRun.run(record, directory, trouble);
            } catch (Exception e) {
                record.say("the case could not run: %s", e);
            }
            record.say("result: %s", result == HELD ? "held" : result == BROKEN ? "broken" : "not run");
        } finally {
            Balancer.endAll();
            deleteTree(directory);
        }
        Runtime.getRuntime().exit(result);
    }

    /** The file record.txt of a case: what was sent, answered and run. */
    public static final class Record implements AutoCloseable {
        private final PrintWriter out;
        private final long startNanos = System.nanoTime();

        public Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        public synchronized void line(String format, Object... values) {
            double ms = (System.nanoTime() - startNanos) / 1e6;
            out.printf(Locale.ROOT, "%10.3f ms  ", ms);
            out.println(String.format(Locale.ROOT, format, values));
            out.flush();
        }

        /** Writes a line and prints it too. */
        public void say(String format, Object... values) {
            String text = String.format(Locale.ROOT, format, values);
            line("%s", text);
            System.out.println(text);
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    /** The head of an HTTP message, with lower-case header names, and its body. */
    public static final class Message {
        public String start;
        public final Map<String, String> headers = new LinkedHashMap<>();
        public byte[] body = new byte[0];

        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        public int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads one message; returns null if the input ends before its first byte. */
    public static Message readMessage(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.start = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (line == null) {
            throw new IOException("end of input in a head");
        }
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new IOException("end of input in a body");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(readBytes(in, length));
                readLine(in);
                if (length == 0) {
                    break;
                }
            }
            message.body = body.toByteArray();
        } else if (message.header("Content-Length") != null) {
            message.body = readBytes(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static byte[] readBytes(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("end of input in a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return null;
    }

    public static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a response with a body of known length. */
    public static byte[] response(String status, String extraHeaders, byte[] body) {
        byte[] head =
                ascii(
                        "HTTP/1.1 "
                                + status
                                + "\r\n"
                                + extraHeaders
                                + "Content-Length: "
                                + body.length
                                + "\r\n\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    public static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static void sleepMs(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Handles one connection of a {@link Server}. */
    public interface ConnectionHandler {
        void handle(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** A TCP server on a free loopback port with one thread for each connection. */
    public static class Server {
        private final ServerSocket listener;
        private final ConnectionHandler handler;
        public final AtomicInteger accepted = new AtomicInteger();
        public final List<Socket> open = new CopyOnWriteArrayList<>();

        public Server(ConnectionHandler handler) throws IOException {
            this.handler = handler;
            this.listener = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
            daemon("accept", this::acceptAll);
        }

        public String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void acceptAll() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    accepted.incrementAndGet();
                    open.add(socket);
                    daemon("connection", () -> handle(socket));
                }
            } catch (IOException e) {
                return;
            }
        }

        private void handle(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                handler.handle(
                        socket,
                        new BufferedInputStream(socket.getInputStream(), 65536),
                        socket.getOutputStream());
            } catch (Exception e) {
                // The connection was closed or broke.
            } finally {
                open.remove(socket);
            }
        }

        public void stopListening() throws IOException {
            listener.close();
        }
    }

    /** One entry of discovery's list. */
    public static String target(String uid, String address, String zone, String state) {
        return "{\"uid\":\""
                + uid
                + "\",\"endpoint\":\""
                + address
                + "\",\"az\":\""
                + zone
                + "\",\"model\":\"gep-a\",\"pod_group\":0,\"state\":\""
                + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    public static String list(long revision, boolean all, String... targets) {
        return "{\"rev\":"
                + revision
                + ",\"all\":"
                + all
                + ",\"targets\":["
                + String.join(",", targets)
                + "]}";
    }

    /** Discovery's agent: the whole list on request, and watches that stay open. */
    public static final class Discovery {
        private final Server server;
        private final List<String> changes = new ArrayList<>();
        private String wholeList;
        private long revision;
        public final AtomicInteger openWatches = new AtomicInteger();

        public Discovery(long revision, String wholeList) throws IOException {
            this.revision = revision;
            this.wholeList = wholeList;
            this.server = new Server(this::serve);
        }

        public String address() {
            return server.address();
        }

        public Server server() {
            return server;
        }

        /** Publishes a change, to be written to all open watches. */
        public synchronized void publish(long newRevision, String change, String newWholeList) {
            revision = newRevision;
            wholeList = newWholeList;
            changes.add(change);
            notifyAll();
        }

        private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
            for (Message request = readMessage(in); request != null; request = readMessage(in)) {
                if (request.start.contains("watch=1")) {
                    openWatches.incrementAndGet();
                    try {
                        watch(request, out);
                    } finally {
                        openWatches.decrementAndGet();
                    }
                    return;
                }
                String list;
                synchronized (this) {
                    list = wholeList;
                }
                out.write(response("200 OK", "Content-Type: application/json\r\n", ascii(list)));
            }
        }

        private void watch(Message request, OutputStream out) throws Exception {
            out.write(
                    ascii(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n"));
            int sent;
            String first;
            synchronized (this) {
                sent = changes.size();
                boolean current = request.start.contains("from=" + revision + " ");
                first = current ? "" : wholeList;
            }
            writeChunk(out, first + "\n");
            while (true) {
                List<String> fresh;
                synchronized (this) {
                    if (sent == changes.size()) {
                        wait(1_900);
                    }
                    fresh = List.copyOf(changes.subList(sent, changes.size()));
                    sent = changes.size();
                }
                if (fresh.isEmpty()) {
                    writeChunk(out, "\n");
                }
                for (String change : fresh) {
                    writeChunk(out, change + "\n");
                }
            }
        }

        private static void writeChunk(OutputStream out, String text) throws IOException {
            out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
        }
    }

    /** Returns the settings of the site's pages for {@code balancers} balancers, as nested JSON. */
    public static String settings(int balancers, int rank) {
        return """
            {"Areas":["budapest","gyor"],"Balancers":%d,"Rank":%d,"Locality":0,
             "Blend":{"Whole":0.65,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.05},
             "Callers":{"MarksRetry":false},
             "Classes":[
               {"Name":"rendeles","Idempotency":"keyed","DedupScope":"zone","KeyTtl":1000000,
                "GoalTime":750000,"GiveUp":1500000,"Gain":2.0,"LateShare":0.3,"Stream":false},
               {"Name":"terheles","Idempotency":"unsafe","DedupScope":"all","KeyTtl":5000000,
                "GoalTime":500000,"GiveUp":2500000,"Gain":10.0,"LateShare":0.5,"Stream":false}],
             "Kinds":["gep-a","gep-b"],
             "Limits":{"Cancel":true,"CpuUsPerRequest":0.0,"CpuUsPerS":800000,"DialTimeout":150000,
               "IdleClose":5000000,"MaxOpen":20000,"MaxRetryAfter":2500000,"MayDuplicate":true,
               "PeerMessages":true,"Probes":true,"RetryAfter":true,"StreamsPerConn":1,"TryLimit":4},
             "MembershipMode":"push","OverShareWorth":0.2,
             "Prices":{"Connection":0.0,"CrossZone":0.015,"Handshake":0.0,"LateFail":0.035,
               "MembershipMode":0.0,"Moves":0.0,"Origin":0.0,"Peer":0.03,"Probe":0.01,"Waste":0.29},
             "Quantum":5000,
             "Realms":[
               {"Name":"tisztalatas","AllowancePerS":460.0,"Portion":0.27},
               {"Name":"dunaoptika","AllowancePerS":340.0,"Portion":0.2},
               {"Name":"alfold-optik","AllowancePerS":310.0,"Portion":0.18}],
             "Rules":{"AnswerSlack":20000,"AskWithin":10000000,"ColdFrom":0.13,"DrainGrace":2500000,
               "Fall":3000000,"OverloadFactor":3.0,"RampTime":24000000},
             "Specifics":{"WarmKeys":false},"Stats":{"Fields":[],"How":"none"},
             "Tier":0,"Tiers":["rendelo-gepek"],"WeightKind":"none","Workload":"proxy",
             "WorthBy":"request"}
            """
                .formatted(balancers, rank);
    }

    /** A balancer, started with the run command of the deploy file from the root. */
    public static final class Balancer {
        private static final List<Process> STARTED = new CopyOnWriteArrayList<>();
        private final Record record;
        private final Path directory;
        public final String name;
        public final int port;
        public final int adminPort;
        private Process process;
        private final Map<String, String> environment = new LinkedHashMap<>();
        private final Path log;

        public Balancer(Record record, Path directory, String name) throws IOException {
            this.record = record;
            this.directory = directory;
            this.name = name;
            this.port = freePort();
            this.adminPort = freePort();
            this.log = directory.resolve(name + ".log");
        }

        public String address() {
            return "127.0.0.1:" + port;
        }

        public Path configFile() {
            return directory.resolve(name + ".json");
        }

        public Path log() {
            return log;
        }

        public void setVariable(String key, String value) {
            environment.put(key, value);
        }

        /** Writes the configuration file; a new file takes the old one's place at once. */
        public void writeConfig(
                String discovery,
                int memoryMb,
                int sockets,
                String known,
                String peerFields,
                String settings)
                throws IOException {
            String json =
                    "{\"name\":\""
                            + name
                            + "\",\"listen\":\""
                            + address()
                            + "\",\"discovery\":\""
                            + discovery
                            + "\",\"admin\":\"127.0.0.1:"
                            + adminPort
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                            + memoryMb
                            + ",\"sockets\":"
                            + sockets
                            + "},"
                            + peerFields
                            + "\"known\":"
                            + known
                            + ",\"settings\":"
                            + settings
                            + "}";
            Path next = directory.resolve(name + ".json.new");
            Files.writeString(next, json);
            Files.move(
                    next,
                    configFile(),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        /** Starts the process, whose standard error goes to the log. */
        public void start(String discovery) throws IOException {
            Path tmp = Files.createTempDirectory(directory, name + "-tmp");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.directory(new File("."));
            builder.environment().put("ROUTER_NAME", name);
            builder.environment().put("ROUTER_LISTEN", address());
            builder.environment().put("ROUTER_DISCOVERY", discovery);
            builder.environment().put("ROUTER_CONFIG", configFile().toString());
            builder.environment().put("TMPDIR", tmp.toString());
            builder.environment().putAll(environment);
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
            process = builder.start();
            record.line("platform: started %s, pid %d", name, process.pid());
            if (STARTED.isEmpty()) {
                Runtime.getRuntime().addShutdownHook(new Thread(Balancer::endAll));
            }
            STARTED.add(process);
        }

        /** Waits for 200 to GET /-/ready. */
        public boolean awaitReady(long timeoutMs) {
            long end = System.nanoTime() + timeoutMs * 1_000_000;
            while (System.nanoTime() < end && process.isAlive()) {
                if (isReady(1_000)) {
                    record.line("platform: %s is ready", name);
                    return true;
                }
                sleepMs(50);
            }
            return false;
        }

        public boolean isReady(int timeoutMs) {
            try (Client client = new Client(port, timeoutMs)) {
                client.send(ascii("GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
                Message answer = client.read();
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        public boolean isAlive() {
            return process.isAlive();
        }

        public long pid() {
            return process.pid();
        }

        /** Returns the exit code, or -1 while the process runs. */
        public int exitCode() {
            return process.isAlive() ? -1 : process.exitValue();
        }

        public boolean awaitEnd(long timeoutMs) throws InterruptedException {
            return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        }

        /** Sends a signal: HUP, TERM, STOP, CONT, KILL. */
        public void signal(String signal) throws IOException, InterruptedException {
            record.line("platform: SIG%s to %s", signal, name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        public void end() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor();
        }

        /** Copies the log's lines to the record. */
        public void recordLog(int maxLines) throws IOException {
            List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            int skipped = Math.max(0, lines.size() - maxLines);
            record.line("log of %s (%d lines left out):", name, skipped);
            for (String line : lines.subList(skipped, lines.size())) {
                record.line("  %s", line);
            }
        }

        /** Ends all balancers that are still running. */
        static void endAll() {
            for (Process process : STARTED) {
                process.destroyForcibly();
            }
            for (Process process : STARTED) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private static String runCommand() throws IOException {
            String toml = Files.readString(Path.of("deploy/balancer.toml"));
            Matcher matcher = Pattern.compile("(?m)^run = \"(.*?)\"\\s*(#.*)?$").matcher(toml);
            if (!matcher.find()) {
                throw new IOException("deploy/balancer.toml has no run command");
            }
            return matcher.group(1);
        }
    }

    /** A client's connection. */
    public static final class Client implements AutoCloseable {
        public final Socket socket = new Socket();
        private final InputStream in;

        public Client(int port, int timeoutMs) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            in = new BufferedInputStream(socket.getInputStream(), 8192);
        }

        public void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Reads a response; null if the connection was closed before its first byte. */
        public Message read() throws IOException {
            return readMessage(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Returns a request of class terheles, which is unsafe to repeat. */
    public static byte[] unsafeRequest(String id, int deadlineMs, byte[] body) {
        return request(id, "terheles", null, deadlineMs, body);
    }

    /** Returns a request of class rendeles, which carries a key. */
    public static byte[] keyedRequest(String id, int deadlineMs, byte[] body) {
        return request(id, "rendeles", "key-" + id, deadlineMs, body);
    }

    private static byte[] request(
            String id, String kind, String key, int deadlineMs, byte[] body) {
        String head =
                "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: "
                        + id
                        + "\r\nReq-Kind: "
                        + kind
                        + "\r\nReq-Owner: tisztalatas\r\nReq-Deadline-Ms: "
                        + deadlineMs
                        + "\r\n"
                        + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                        + "Content-Length: "
                        + body.length
                        + "\r\n\r\n";
        byte[] headBytes = ascii(head);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }

    /** Deletes a folder with all that it holds. */
    public static void deleteTree(Path directory) throws IOException {
        try (var paths = Files.walk(directory)) {
            paths.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
