package loadbalancer.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Parses address literals with a port, such as {@code 10.0.0.1:8080} or {@code [::1]:8080}. Never
 * resolves host names: there is no DNS, and a lookup would block the event loop. Stateless.
 */
public final class SocketAddressParser {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_PORT_DIGITS = 5;
    private static final int MAX_OCTET = 255;
    private static final int MAX_OCTET_DIGITS = 3;
    private static final int IPV4_BYTES = 4;
    // Larger than every valid value, and small enough that appending a digit does not overflow.
    private static final int OVERFLOW_VALUE = 1_000_000;
    private static final int INVALID = -1;
    private static final Pattern IP_LITERAL =
            Pattern.compile("[0-9.]+|\\[?[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]?");

    private SocketAddressParser() {}

    /**
     * Parses {@code text}.
     *
     * @throws InvalidAddressException if it is not an address literal, a colon and a port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        int port =
                colon < 0
                        ? INVALID
                        : parseDigits(text, colon + 1, text.length(), MAX_PORT_DIGITS, MAX_PORT);
        if (colon <= 0 || port == INVALID) {
            throw new InvalidAddressException("address:port", text);
        }
        byte[] octets = new byte[IPV4_BYTES];
        try {
            return parseIpv4(text, colon, octets)
                    ? new InetSocketAddress(InetAddress.getByAddress(octets), port)
                    : parseIpLiteral(text.substring(0, colon), port);
        } catch (UnknownHostException e) {
            throw new InvalidAddressException("an address", text);
        }
    }

    // Parses all forms other than four octets. The pattern keeps host names from the resolver.
    private static InetSocketAddress parseIpLiteral(String host, int port) {
        if (!IP_LITERAL.matcher(host).matches()) {
            throw new InvalidAddressException("an address", host);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (UnknownHostException e) {
            throw new InvalidAddressException("an address", host);
        }
    }

    // Parses text[0, end) into octets if it consists of four of them, and returns whether it does.
    // Does not use a pattern, since matching one for each entry took most of the time of decoding
    // a large endpoint list.
    private static boolean parseIpv4(String text, int end, byte[] octets) {
        int start = 0;
        for (int i = 0; i < IPV4_BYTES; i++) {
            int dot = i == IPV4_BYTES - 1 ? end : text.indexOf('.', start);
            boolean inText = dot >= 0 && dot <= end;
            int value =
                    inText ? parseDigits(text, start, dot, MAX_OCTET_DIGITS, MAX_OCTET) : INVALID;
            boolean hasLeadingZero = value > 0 && text.charAt(start) == '0';
            if (value == INVALID || hasLeadingZero) {
                return false;
            }
            octets[i] = (byte) value;
            start = dot + 1;
        }
        return true;
    }

    // Returns the number in text[from, to), or INVALID if it has no digits, too many digits, other
    // characters or a value above max.
    private static int parseDigits(String text, int from, int to, int maxDigits, int max) {
        int value = 0;
        for (int i = from; i < to; i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return INVALID;
            }
            value = Math.min(OVERFLOW_VALUE, 10 * value + c - '0');
        }
        boolean lengthValid = to > from && to - from <= maxDigits;
        return lengthValid && value <= max ? value : INVALID;
    }
}
