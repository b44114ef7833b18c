package loadbalancer.http;

/** A client's request that can't be proxied; the message is what the client is answered. */
final class InvalidRequestException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        super(message);
    }
}
