package loadbalancer.cluster;

/** Sends datagrams to peers. */
public interface PeerSender {
    /** Sends a datagram to the peer with number {@code peer}. The datagram may be lost. */
    void send(int peer, byte[] data);
}
