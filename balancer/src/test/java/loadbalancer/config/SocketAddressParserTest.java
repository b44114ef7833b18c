package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link SocketAddressParser}: valid literals, and that host names are rejected. */
class SocketAddressParserTest {
    @ParameterizedTest
    @CsvSource({
        "10.0.0.1:80, 10.0.0.1, 80",
        "0.0.0.0:0, 0.0.0.0, 0",
        "255.255.255.255:65535, 255.255.255.255, 65535",
        "[2001:db8::1]:8080, 2001:db8:0:0:0:0:0:1, 8080",
    })
    void literalIsParsedToAddressAndPort(String text, String host, int port) {
        InetSocketAddress address = SocketAddressParser.parse(text);
        assertEquals(host, address.getAddress().getHostAddress());
        assertEquals(port, address.getPort());
    }

    @ParameterizedTest
    @CsvSource({
        "10.0.0.1, not address:port: '10.0.0.1'",
        ":80, not address:port: ':80'",
        "10.0.0.1:65536, not address:port: '10.0.0.1:65536'",
        "10.0.0.1:, not address:port: '10.0.0.1:'",
        "10.0.0.1:000080, not address:port: '10.0.0.1:000080'",
        "localhost:80, not an address: 'localhost'",
        "10.0.0.256:80, not an address: '10.0.0.256'",
    })
    void invalidTextIsRejectedWithMessage(String text, String expectedMessage) {
        InvalidAddressException exception =
                assertThrows(InvalidAddressException.class, () -> SocketAddressParser.parse(text));
        assertEquals(expectedMessage, exception.getMessage());
    }

    /** Octets above 127, which are negative as Java bytes, are parsed correctly. */
    @Test
    void octetsAreUnsigned() {
        assertArrayEquals(
                new byte[] {(byte) 200, 0, (byte) 255, 1},
                SocketAddressParser.parse("200.0.255.1:1").getAddress().getAddress());
    }
}
