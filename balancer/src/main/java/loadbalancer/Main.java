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
 * Starts a real balancer, or the adapter on standard input and output; {@code prepare} starts a
 * balancer that ends once it could serve, for the virtual machine to write down which classes that
 * takes.
 */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(BalancerProcess.serve(System.getenv()));
        }
        if (args.length == 1 && args[0].equals("prepare")) {
            System.exit(BalancerProcess.runWarmUpOnly());
        }
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar load-balancer.jar serve | prepare | wirehost");
            System.exit(2);
        }
        try (BufferedReader input =
                        new BufferedReader(
                                new InputStreamReader(
                                        new FileInputStream(FileDescriptor.in),
                                        StandardCharsets.UTF_8),
                                1 << 16);
                OutputStream output =
                        new BufferedOutputStream(
                                new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new SimulatorAdapter(RoutingEngine::new, input, output).run();
        } catch (WireFormatException | IOException e) {
            System.err.println("load-balancer: " + e.getMessage());
            System.exit(1);
        }
    }
}
