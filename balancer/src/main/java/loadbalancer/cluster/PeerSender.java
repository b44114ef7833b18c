package loadbalancer.cluster;

/** Where a datagram goes, by the peer's number. */
public interface PeerSender {
    void send(int peer, byte[] data);
}
