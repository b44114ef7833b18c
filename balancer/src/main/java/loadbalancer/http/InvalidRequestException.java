package loadbalancer.http;

/** Thrown for a client request that can't be forwarded; the message is sent to the client. */
final class InvalidRequestException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        super(message);
    }
}
