package loadbalancer.testbed.emulation;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * The loopback addresses of one run: a /16 network below 127.0.0.0/8 that depends on the id of this
 * process, and in it a /24 network for each balancer. Ports are chosen by the system. Immutable.
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

    /** The address at which the balancer listens for clients and operators. */
    public InetAddress clientAddress(int balancer) throws IOException {
        return host(balancer, CLIENT_HOST);
    }

    /** The address at which the balancer reaches discovery and the upstreams. */
    public InetAddress backendAddress(int balancer) throws IOException {
        return host(balancer, BACKEND_HOST);
    }

    /** The address at which the balancer reaches its peers. */
    public InetAddress peerAddress(int balancer) throws IOException {
        return host(balancer, PEER_HOST);
    }

    /**
     * An unused TCP port on that address. It stays unused, since only this run uses the address.
     *
     * @throws IOException if the address can't be bound
     */
    public InetSocketAddress findFreePort(InetAddress host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    /** The address in the form of configurations, {@code host:port}. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
