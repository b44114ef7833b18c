package loadbalancer.testbed.emulation;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Assigns the loopback addresses of one run: a /16 network in 127.0.0.0/8 that depends on the id of
 * this process, with a /24 network for each balancer. The system chooses the ports. Immutable.
 */
public final class LoopbackAddresses {
    // Second octets of the /16 networks.
    private static final int FIRST_NETWORK = 64;
    private static final int NETWORK_COUNT = 128;
    // Last octets of a balancer's addresses.
    private static final String CLIENT_HOST = "1";
    private static final String BACKEND_HOST = "2";
    private static final String PEER_HOST = "3";

    private final int networkOctet =
            FIRST_NETWORK + (int) (ProcessHandle.current().pid() % NETWORK_COUNT);

    private InetAddress host(int balancer, String lastOctet) throws IOException {
        return InetAddress.getByName(
                "127." + networkOctet + "." + (balancer + 1) + "." + lastOctet);
    }

    /** Returns the address at which the balancer listens for clients and operators. */
    public InetAddress clientAddress(int balancer) throws IOException {
        return host(balancer, CLIENT_HOST);
    }

    /** Returns the address at which the balancer reaches discovery and the upstreams. */
    public InetAddress backendAddress(int balancer) throws IOException {
        return host(balancer, BACKEND_HOST);
    }

    /** Returns the address at which the balancer reaches its peers. */
    public InetAddress peerAddress(int balancer) throws IOException {
        return host(balancer, PEER_HOST);
    }

    /**
     * Returns the address with an unused TCP port. The port remains unused, since only this run
     * uses the address.
     *
     * @throws IOException if the address cannot be bound
     */
    public InetSocketAddress findFreePort(InetAddress host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    /** Formats an address for configurations, as {@code host:port}. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
