package loadbalancer.testbed.emulation;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Loopback addresses of one run: a network of its own below 127, by the process that plays it, and
 * in it a /24 for each balancer. Ports are whatever the system gives.
 */
public final class LoopbackAddresses {
    private static final int FIRST_NETWORK = 64;
    private static final int NETWORK_COUNT = 128;
    private static final String CLIENT_HOST = "1";
    private static final String BACKEND_HOST = "2";
    private static final String PEER_HOST = "3";

    private final int network =
            FIRST_NETWORK + (int) (ProcessHandle.current().pid() % NETWORK_COUNT);

    private InetAddress host(int balancer, String lastOctet) throws IOException {
        return InetAddress.getByName("127." + network + "." + (balancer + 1) + "." + lastOctet);
    }

    /** Where the balancer listens for clients and operators. */
    public InetAddress clientAddress(int balancer) throws IOException {
        return host(balancer, CLIENT_HOST);
    }

    /** Where it reaches discovery and the upstreams. */
    public InetAddress backendAddress(int balancer) throws IOException {
        return host(balancer, BACKEND_HOST);
    }

    /** Where it reaches its peers. */
    public InetAddress peerAddress(int balancer) throws IOException {
        return host(balancer, PEER_HOST);
    }

    /** A port that nothing uses on that address; only this run looks for ports there. */
    public InetSocketAddress findFreePort(InetAddress host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    /** As configurations write it. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
