package loadbalancer;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.server.BalancerProcess;
import loadbalancer.simulator.SimulatorAdapter;
import loadbalancer.simulator.WireFormatException;

/**
 * Entry point of the load balancer: runs the command that the only argument names.
 *
 * <ul>
 *   <li>{@code serve} runs a balancer until it is signalled to stop.
 *   <li>{@code prepare} starts a balancer, warms it up and stops it, so that the JVM can record
 *       which classes a start loads.
 *   <li>{@code wirehost} runs the routing policy against the simulator's protocol on standard input
 *       and output.
 * </ul>
 */
public final class Main {
    private static final String USAGE =
            "usage: java -jar load-balancer.jar serve | prepare | wirehost";
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;
    private static final int BUFFER_SIZE_BYTES = 1 << 16;

    private Main() {}

    /** Runs the command that the only argument names, and exits with its exit code. */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> System.exit(BalancerProcess.serve(System.getenv()));
            case "prepare" -> System.exit(BalancerProcess.runWarmUpOnly());
            case "wirehost" -> exitOnFailure(runSimulatorAdapter());
            default -> {
                System.err.println(USAGE);
                System.exit(EXIT_USAGE);
            }
        }
    }

    // On success it returns, and the JVM ends by itself.
    private static void exitOnFailure(int exitCode) {
        if (exitCode != EXIT_OK) {
            System.exit(exitCode);
        }
    }

    private static int runSimulatorAdapter() {
        try (BufferedReader input =
                        new BufferedReader(
                                new InputStreamReader(
                                        new FileInputStream(FileDescriptor.in),
                                        StandardCharsets.UTF_8),
                                BUFFER_SIZE_BYTES);
                OutputStream output =
                        new BufferedOutputStream(
                                new FileOutputStream(FileDescriptor.out), BUFFER_SIZE_BYTES)) {
            new SimulatorAdapter(RoutingEngine::new, input, output).run();
            return EXIT_OK;
        } catch (WireFormatException | IOException e) {
            System.err.println("load-balancer: " + e.getMessage());
            return EXIT_FAILURE;
        }
    }
}
