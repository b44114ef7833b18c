package junctionhead.lab.cost;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import junctionhead.lab.fleet.Launch;
import junctionhead.lab.fleet.ProcFigures;
import junctionhead.lab.fleet.Spawner;
import junctionhead.lab.stand.Addresses;
import junctionhead.lab.stand.Json;

/** One real balancer, started as it is deployed, and what the system tells of it. */
final class CostProcess implements AutoCloseable {
    private static final int SOCKETS = 1024;
    private static final int MEMORY_MB = 192;
    private static final long READY_S = 60;
    private static final long LOOK_MS = 10;
    // After SIGTERM
    private static final long END_S = 5;
    private static final Path JCMD = Path.of(System.getProperty("java.home"), "bin", "jcmd");
    private static final Pattern USED =
            Pattern.compile("(?:new|tenured) generation\\s+total \\d+K, used (\\d+)K");

    private static final String STATE = "TANSYFERRY_STATE_DIR";

    private final Process process;
    private final long startedAt = System.nanoTime();
    private final InetSocketAddress listen;
    private final InetSocketAddress door;
    private final Path log;
    private final Path collections;
    private final Path state;
    // Ns of each, by its number
    private final Map<String, Long> threads = new HashMap<>();

    /**
     * Starts it in a folder of its own; {@code peers} is null where it has none; {@code own}:
     * variables that switch on parts of the program.
     */
    CostProcess(
            Spawner spawner,
            Launch launch,
            Path folder,
            CostCase size,
            CostStand stand,
            Addresses addresses,
            InetSocketAddress peerListen,
            List<InetSocketAddress> peers,
            Map<String, String> own)
            throws IOException {
        listen = addresses.free(addresses.own(0));
        door = addresses.free(addresses.own(0));
        log = folder.resolve("log");
        collections = folder.resolve("collections");
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", "n0");
        all.put("listen", Addresses.text(listen));
        all.put("admin", Addresses.text(door));
        all.put("discovery", Addresses.text(stand.discovery()));
        all.put("seed", "1");
        all.put("limits", Map.of("cores", 1.0, "memory_mb", MEMORY_MB, "sockets", SOCKETS));
        if (peers != null) {
            List<String> texts = new ArrayList<>(List.of(Addresses.text(peerListen)));
            peers.forEach(p -> texts.add(Addresses.text(p)));
            all.put("peer_listen", texts.get(0));
            all.put("peers", texts);
        }
        all.put("known", stand.known());
        all.put("settings", size.settings());
        Path config = Files.writeString(folder.resolve("config.json"), Json.text(all));
        ProcessBuilder builder =
                new ProcessBuilder()
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(log.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "LANG", "JAVA_HOME"));
        environment.put("ROUTER_NAME", "n0");
        environment.put("ROUTER_CONFIG", config.toString());
        environment.put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        environment.putAll(own);
        state = folder.resolve("state");
        if (own.containsKey(STATE)) {
            environment.put(STATE, Files.createDirectories(state).toString());
        }
        List<String> command = new ArrayList<>(launch.command());
        int jar = command.indexOf("-jar");
        command.add(jar < 0 ? command.size() : jar, "-Xlog:gc:file=" + collections + ":uptime");
        process = spawner.start(command, SOCKETS, builder);
    }

    InetSocketAddress listen() {
        return listen;
    }

    boolean runs() {
        return process.isAlive();
    }

    /**
     * s from its start until it says that it is ready; -1 where it has ended, or is not within a
     * minute.
     */
    double untilReady() throws InterruptedException {
        while (process.isAlive()
                && System.nanoTime() - startedAt < TimeUnit.SECONDS.toNanos(READY_S)) {
            if (call("ready").startsWith("200")) {
                return (System.nanoTime() - startedAt) / 1e9;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        return -1;
    }

    private String call(String line) {
        try (Socket socket = new Socket(door.getAddress(), door.getPort())) {
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            // Not up yet, or busy
            return "";
        }
    }

    /** CPU of all its threads so far, s; of those that have ended, what the last call saw. */
    double cpu() throws IOException {
        try (var tasks = Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path task : tasks.toList()) {
                try {
                    threads.put(
                            task.getFileName().toString(),
                            Long.parseLong(
                                    Files.readString(task.resolve("schedstat")).split(" ")[0]));
                } catch (NoSuchFileException e) {
                    // It has ended meanwhile
                    continue;
                }
            }
        }
        return threads.values().stream().mapToLong(nanos -> nanos).sum() / 1e9;
    }

    /** Resident memory, MB of 1,024 kB. */
    double resident() {
        return ProcFigures.of(process.pid()).residentKb() / 1024.0;
    }

    /** What lives in its heap after a full collection, MB; -1 where that can't be asked. */
    double live() throws IOException, InterruptedException {
        String pid = Long.toString(process.pid());
        if (!Files.isExecutable(JCMD) || ask(pid, "GC.run").isEmpty()) {
            return -1;
        }
        Matcher used = USED.matcher(ask(pid, "GC.heap_info"));
        long kb = 0;
        while (used.find()) {
            kb += Long.parseLong(used.group(1));
        }
        return kb == 0 ? -1 : kb / 1024.0;
    }

    private static String ask(String... what) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(JCMD.toString()));
        command.addAll(List.of(what));
        Process asked = new ProcessBuilder(command).redirectErrorStream(true).start();
        String said = new String(asked.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return asked.waitFor() == 0 ? said : "";
    }

    /** Its pauses for collections so far, in order, ms; {@code full}: those of the whole heap. */
    List<Double> pauses(boolean full) throws IOException {
        Pattern pause = Pattern.compile((full ? "Pause Full" : "Pause Young") + ".* ([0-9.]+)ms$");
        return Files.readAllLines(collections).stream()
                .map(pause::matcher)
                .filter(Matcher::find)
                .map(m -> Double.valueOf(m.group(1)))
                .toList();
    }

    /**
     * Bytes of the newest snapshot of its state; 0 where none is kept, -1 where none is asked for.
     */
    long kept() throws IOException {
        if (!Files.exists(state)) {
            return -1;
        }
        try (var files = Files.list(state)) {
            return files.filter(f -> f.getFileName().toString().startsWith("snapshot-"))
                    .mapToLong(f -> f.toFile().length())
                    .max()
                    .orElse(0);
        }
    }

    /** The last line of its log. */
    String lastWords() throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(END_S, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
