package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** {@link SocketAddressParser}: which literals it takes, and that it never looks a name up. */
class SocketAddressParserTest {
    @ParameterizedTest
    @CsvSource({
        "10.0.0.1:80, 10.0.0.1, 80",
        "0.0.0.0:0, 0.0.0.0, 0",
        "255.255.255.255:65535, 255.255.255.255, 65535",
        "[2001:db8::1]:8080, 2001:db8:0:0:0:0:0:1, 8080",
    })
    void literalGivesAddressAndPort(String text, String host, int port) {
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
    void otherTextIsRejectedWithItsFault(String text, String expectedMessage) {
        InvalidAddressException exception =
                assertThrows(InvalidAddressException.class, () -> SocketAddressParser.parse(text));
        assertEquals(expectedMessage, exception.getMessage());
    }

    /** The parser written by hand and the JDK's agree on octets above 127, which are negative. */
    @Test
    void octetsAreUnsigned() {
        assertArrayEquals(
                new byte[] {(byte) 200, 0, (byte) 255, 1},
                SocketAddressParser.parse("200.0.255.1:1").getAddress().getAddress());
    }
}
