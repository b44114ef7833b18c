package loadbalancer.cluster;

/** Sends datagrams to peers. */
public interface PeerSender {
    /** Sends to the peer of that number. The datagram may be lost. */
    void send(int peer, byte[] data);
}
