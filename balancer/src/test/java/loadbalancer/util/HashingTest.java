package loadbalancer.util;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that {@link Hashing} gives fixed values, which balancers of all versions must share. */
class HashingTest {
    @ParameterizedTest(name = "hash of \"{0}\"")
    @CsvSource({
        "'', 55f03ac8c77dc0e5",
        "a, a0e1214868fe307f",
        "10.0.0.2:80, 418bf49aea8ed458",
        "é, 9e95548f03aa5df7"
    })
    void textHasFixedHash(String text, String expectedHex) {
        assertEquals(Long.parseUnsignedLong(expectedHex, 16), Hashing.hash(text));
    }

    @ParameterizedTest(name = "mix of {0}")
    @CsvSource({
        "0, d85d1d823d12cde7",
        "1, a3ffdf0e74461f43",
        "2, 9eb010ada1008280",
        "-1, 0e4eeb0b6fd58b5d"
    })
    void numberHasFixedMix(long number, String expectedHex) {
        assertEquals(Long.parseUnsignedLong(expectedHex, 16), Hashing.mix(number));
    }
}
