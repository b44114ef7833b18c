import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
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
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** What the cases share: a balancer process, and stand-ins for clients, upstreams and discovery. */
final class Stand {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long START_NANOS = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static PrintWriter recordFile;
    private static Path temporary;

    private Stand() {}

    /** A case. Returns whether the rule was kept. */
    interface Case {
        boolean run() throws Exception;
    }

    /** Runs a case and exits with 0 (rule kept), 1 (broken) or 2 (the case could not run). */
    static void main(String[] args, Case body) throws Exception {
        recordFile =
                new PrintWriter(
                        Files.newBufferedWriter(Path.of(args[0], "record.txt")), true);
        temporary = Files.createTempDirectory("case");
        Runtime.getRuntime().addShutdownHook(new Thread(Stand::cleanUp));
        Thread watchdog =
                new Thread(
                        () -> {
                            sleep(112_000);
                            record("could not run: not finished within 112 s");
                            System.exit(2);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        record("trouble=" + (TROUBLE ? 1 : 0));
        int code = 2;
        try {
            code = body.run() ? 0 : 1;
            record(code == 0 ? "rule kept" : "RULE BROKEN");
        } catch (Throwable e) {
            record("could not run: " + e);
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static void cleanUp() {
        synchronized (PROCESSES) {
            for (Process process : PROCESSES) {
                if (process.isAlive()) {
                    process.destroyForcibly();
                }
            }
        }
        try (var files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    static double now() {
        return (System.nanoTime() - START_NANOS) / 1e9;
    }

    static synchronized void record(String line) {
        String text = String.format(Locale.ROOT, "%9.3f %s", now(), line);
        recordFile.println(text);
        if (!line.startsWith("  ")) {
            System.out.println(text);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(double time) {
        sleep(Math.max(0, Math.round((time - now()) * 1000)));
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static Path temporary() {
        return temporary;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** The site of the brief with two zones and an additional class that is safe to repeat. */
    static String settings(int balancers, int rank, double giveUpSafeSeconds) {
        return ("{'Areas':['budapest','gyor'],'Balancers':" + balancers + ",'Rank':" + rank
                + ",'Locality':0,'Kinds':['gep-a','gep-b'],'MembershipMode':'push','Quantum':5000,"
                + "'Workload':'proxy','WorthBy':'request','WeightKind':'none','Tier':0,"
                + "'Tiers':['rendelo-gepek'],'OverShareWorth':0.2,"
                + "'Blend':{'Whole':0.65,'WorstClass':0.2,'WorstTenant':0.1,'WorstWindow':0.05},"
                + "'Callers':{'MarksRetry':false},'Specifics':{'WarmKeys':false},"
                + "'Classes':["
                + "{'Name':'rendeles','Idempotency':'keyed','DedupScope':'zone','KeyTtl':1000000,"
                + "'GoalTime':750000,'GiveUp':1500000,'Gain':2.0,'LateShare':0.4,'Stream':false},"
                + "{'Name':'terheles','Idempotency':'unsafe','DedupScope':'all','KeyTtl':0,"
                + "'GoalTime':500000,'GiveUp':2500000,'Gain':10.0,'LateShare':0.5,'Stream':false},"
                + "{'Name':'lekerdezes','Idempotency':'safe','DedupScope':'all','KeyTtl':0,"
                + "'GoalTime':" + (long) (giveUpSafeSeconds * 5e5) + ",'GiveUp':"
                + (long) (giveUpSafeSeconds * 1e6)
                + ",'Gain':1.0,'LateShare':0.5,'Stream':false}],"
                + "'Limits':{'TryLimit':4,'MayDuplicate':true,'Cancel':true,'Probes':true,"
                + "'PeerMessages':true,'DialTimeout':150000,'IdleClose':5000000,'MaxOpen':20000,"
                + "'RetryAfter':true,'MaxRetryAfter':2500000,'StreamsPerConn':1,"
                + "'CpuUsPerRequest':0.0,'CpuUsPerS':800000},"
                + "'Prices':{'CrossZone':0.015,'Peer':0.03,'Probe':0.01,'Waste':0.29,"
                + "'LateFail':0.035,'Handshake':0.0},"
                + "'Rules':{'AnswerSlack':20000,'DrainGrace':2500000,'ColdFrom':0.13,"
                + "'RampTime':24000000,'OverloadFactor':3.0,'Fall':3000000,'AskWithin':10000000},"
                + "'Realms':[{'Name':'tisztalatas','AllowancePerS':90.0,'Portion':0.5},"
                + "{'Name':'dunaoptika','AllowancePerS':90.0,'Portion':0.5}],"
                + "'Stats':{'How':'none','Fields':[]}}").replace('\'', '"');
    }

    /** A balancer process, started by the run command of the deploy file. */
    static final class Balancer {
        final String name;
        final int port = freePort();
        final Path directory;
        final Path config;
        final Path log;
        private final Map<String, String> environment = new LinkedHashMap<>();
        private Process process;

        Balancer(String name) throws IOException {
            this.name = name;
            directory = Files.createDirectories(temporary.resolve(name));
            config = directory.resolve("config.json");
            log = directory.resolve("log");
        }

        void set(String variable, String value) {
            environment.put(variable, value);
        }

        /** Writes the configuration; more is further members of the JSON object, or empty. */
        void configure(int discoveryPort, String known, String settings, String more)
                throws IOException {
            Path next = directory.resolve("config.next");
            Files.writeString(
                    next,
                    "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                            + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                            + "\",\"seed\":\"" + Long.toHexString(System.nanoTime())
                            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":144,\"sockets\":384},"
                            + (more.isEmpty() ? "" : more + ",")
                            + "\"known\":" + known + ",\"settings\":" + settings + "}");
            Files.move(
                    next,
                    config,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void start(int discoveryPort) throws IOException {
            String run =
                    Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                            .filter(line -> line.startsWith("run = "))
                            .map(line -> line.substring(7, line.lastIndexOf('"')))
                            .findFirst()
                            .orElseThrow();
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
            builder.environment().putAll(environment);
            builder.environment().put("ROUTER_NAME", name);
            builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discoveryPort);
            builder.environment().put("ROUTER_CONFIG", config.toString());
            Path own = Files.createDirectories(directory.resolve("tmp"));
            builder.environment().put("TMPDIR", own.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            synchronized (PROCESSES) {
                PROCESSES.add(process);
            }
            record(name + " started");
        }

        /** Waits until the readiness check answers 200. */
        void awaitReady() throws Exception {
            double end = now() + 30;
            while (now() < end) {
                if (!process.isAlive()) {
                    throw new IllegalStateException(name + " ended: " + Files.readString(log));
                }
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress(LOOPBACK, port), 500);
                    socket.setSoTimeout(1000);
                    socket.getOutputStream().write(ascii(
                            "GET /-/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n"));
                    Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
                    if (answer != null && answer.start.contains(" 200 ")) {
                        record(name + " ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                sleep(50);
            }
            throw new IllegalStateException(name + " not ready");
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitValue() {
            return process.exitValue();
        }

        /** Sends a signal, such as STOP. */
        void signal(String signal) throws Exception {
            record("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean awaitEnd(long seconds) throws InterruptedException {
            return process.waitFor(seconds, TimeUnit.SECONDS);
        }

        /** Copies the log's lines that contain one of the texts to the record. */
        void recordLog(String... texts) throws IOException {
            for (String line : Files.readAllLines(log)) {
                for (String text : texts) {
                    if (line.contains(text)) {
                        record("  log of " + name + ": " + line);
                        break;
                    }
                }
            }
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** An HTTP message with its body. */
    static final class Message {
        String start;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        /** Returns null if the input ends before a message begins. */
        static Message read(InputStream in) throws IOException {
            Message message = new Message();
            message.start = line(in);
            if (message.start == null) {
                return null;
            }
            for (String line = line(in); !"".equals(line); line = line(in)) {
                if (line == null) {
                    throw new IOException("ended in a head");
                }
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            if ("chunked".equals(message.header("Transfer-Encoding"))) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        throw new IOException("ended in a body");
                    }
                    int bytes = Integer.parseInt(size.split(";")[0].strip(), 16);
                    if (bytes > 0) {
                        all.write(exactly(in, bytes));
                    }
                    line(in);
                    if (bytes == 0) {
                        break;
                    }
                }
                message.body = all.toByteArray();
            } else if (message.header("Content-Length") != null) {
                message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
            }
            return message;
        }

        private static byte[] exactly(InputStream in, int bytes) throws IOException {
            byte[] read = in.readNBytes(bytes);
            if (read.length < bytes) {
                throw new IOException("ended in a body");
            }
            return read;
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int c;
            while ((c = in.read()) >= 0 && c != '\n') {
                line.write(c);
            }
            if (c < 0) {
                if (line.size() > 0) {
                    throw new IOException("ended in a line");
                }
                return null;
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
        }
    }

    /** An upstream. Each request runs on its connection's thread when its last byte has come. */
    static final class Upstream {
        /** Serves a request; returns the answer, or null to close the connection. */
        interface Service {
            String serve(Message request, double arrivedAt) throws Exception;
        }

        final String uid;
        final String zone;
        private final ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final Service service;
        volatile String state = "in_service";
        volatile long bootMs;

        Upstream(String uid, String zone, Service service) throws IOException {
            this.uid = uid;
            this.zone = zone;
            this.service = service;
            listener = new ServerSocket(0, 256, LOOPBACK);
            daemon(this::accept);
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message m = Message.read(in); m != null; m = Message.read(in)) {
                    double arrivedAt = now();
                    String answer;
                    if (m.start.startsWith("GET /-/healthy ")) {
                        answer = ok("up\n");
                    } else if (m.start.contains(" /-/") || m.header("Req-Id") == null) {
                        answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
                    } else {
                        answer = service.serve(m, arrivedAt);
                    }
                    if (answer == null) {
                        return;
                    }
                    socket.getOutputStream().write(ascii(answer));
                }
            } catch (Exception e) {
                // The connection has ended.
            } finally {
                open.remove(socket);
            }
        }

        /** Ends as a process that dies: open connections are reset, new ones are refused. */
        void die() throws IOException {
            record(uid + " ends");
            listener.close();
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }

        String entry() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + listener.getLocalPort()
                    + "\",\"az\":\"" + zone + "\",\"model\":\"gep-a\",\"pod_group\":0,\"state\":\""
                    + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
        }
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    static final String DECLINED =
            "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

    static String list(int revision, boolean all, List<Upstream> upstreams) {
        List<String> entries = new ArrayList<>();
        upstreams.forEach(upstream -> entries.add(upstream.entry()));
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":["
                + String.join(",", entries) + "]}";
    }

    /** An agent of discovery. A watch gets the whole list first, then each change. */
    static final class Discovery {
        private final ServerSocket listener;
        private final List<Upstream> upstreams;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final List<OutputStream> watches = new ArrayList<>();
        private int revision;
        /** How long an answer takes to begin. */
        volatile long answerDelayMs;

        Discovery(int revision, List<Upstream> upstreams) throws IOException {
            this.revision = revision;
            this.upstreams = upstreams;
            listener = new ServerSocket(0, 64, LOOPBACK);
            daemon(this::accept);
            daemon(this::writeEmptyLines);
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    open.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Message m = Message.read(in); m != null; m = Message.read(in)) {
                    sleep(answerDelayMs);
                    synchronized (this) {
                        record("  discovery " + port() + " gets " + m.start);
                        String list = list(revision, true, upstreams) + "\n";
                        if (m.start.contains("watch=1")) {
                            out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                            chunk(out, list);
                            watches.add(out);
                        } else {
                            out.write(ascii(ok(list)));
                        }
                    }
                }
            } catch (IOException e) {
                // The connection has ended.
            }
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }

        private void writeEmptyLines() {
            while (!listener.isClosed()) {
                sleep(2000);
                writeToWatches("\n");
            }
        }

        private synchronized void writeToWatches(String text) {
            watches.removeIf(
                    out -> {
                        try {
                            chunk(out, text);
                            return false;
                        } catch (IOException e) {
                            return true;
                        }
                    });
        }

        /** Tells a change, which the upstreams' fields have already. */
        synchronized void tell(Upstream... changed) {
            revision++;
            writeToWatches(list(revision, false, List.of(changed)) + "\n");
            for (Upstream upstream : changed) {
                record("discovery " + port() + " tells " + upstream.uid + " " + upstream.state
                        + ", to " + watches.size() + " watches");
            }
        }

        synchronized int watchCount() {
            return watches.size();
        }

        void stopListening() throws IOException {
            listener.close();
        }

        void closeConnections() throws IOException {
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    /** A client's connection, for one request at a time. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String kind, String id, long deadlineMs, int bodyBytes) throws IOException {
            socket.setSoTimeout((int) deadlineMs + 1000);
            String method = kind.equals("lekerdezes") ? "GET" : "POST";
            socket.getOutputStream().write(ascii(
                    method + " /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id
                            + "\r\nReq-Kind: " + kind + "\r\nReq-Owner: tisztalatas"
                            + "\r\nReq-Deadline-Ms: " + deadlineMs + "\r\n"
                            + (kind.equals("rendeles") ? "Idempotency-Key: k" + id + "\r\n" : "")
                            + (method.equals("POST") ? "Content-Length: " + bodyBytes + "\r\n" : "")
                            + "\r\n" + "x".repeat(method.equals("POST") ? bodyBytes : 0)));
        }

        /** Returns null if the connection ends without an answer. */
        Message receive() throws IOException {
            return Message.read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
