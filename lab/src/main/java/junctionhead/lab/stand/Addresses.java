package junctionhead.lab.stand;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Loopback addresses of one run: a network of its own below 127, by the process that plays it, and
 * in it a /24 for each balancer. Ports are whatever the system gives.
 */
public final class Addresses {
    private static final int FIRST = 64;
    private static final int NETWORKS = 128;
    private static final String CLIENTS = "1";
    private static final String PARTIES = "2";
    private static final String PEERS = "3";

    private final int network = FIRST + (int) (ProcessHandle.current().pid() % NETWORKS);

    private InetAddress host(int balancer, String part) throws IOException {
        return InetAddress.getByName("127." + network + "." + (balancer + 1) + "." + part);
    }

    /** Where the balancer listens for clients and operators. */
    public InetAddress own(int balancer) throws IOException {
        return host(balancer, CLIENTS);
    }

    /** Where it reaches discovery and the upstreams. */
    public InetAddress parties(int balancer) throws IOException {
        return host(balancer, PARTIES);
    }

    /** Where it reaches its peers. */
    public InetAddress peers(int balancer) throws IOException {
        return host(balancer, PEERS);
    }

    /** A port that nothing uses on that address; only this run looks for ports there. */
    public InetSocketAddress free(InetAddress host) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, probe.getLocalPort());
        }
    }

    /** As configurations write it. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
