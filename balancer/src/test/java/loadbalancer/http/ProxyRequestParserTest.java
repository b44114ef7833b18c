package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import loadbalancer.config.BootSettings;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.MemoryBudget;
import loadbalancer.proxy.ProxyRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what is parsed from the head of a request, and which requests are invalid. */
class ProxyRequestParserTest {
    private static final byte[] NO_BODY = new byte[0];

    private final ProxyRequestParser parser = new ProxyRequestParser(settingsWithTenants());

    private static BootSettings settingsWithTenants() {
        BootSettings boot = EmbeddedFrontend.bootSettings();
        return new BootSettings(
                boot.settings(),
                boot.loadFields(),
                boot.classNames(),
                List.of("everyone", "north_south", "north_south"),
                boot.zoneNames(),
                boot.machineTypeNames(),
                boot.idleTimeoutMicros());
    }

    /** Returns a valid request of the class read. */
    private static HttpRequest readRequest(String uri) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set("Req-Id", "r1").set("Req-Kind", "read").set("Req-Deadline-Ms", "250");
        return request;
    }

    private ProxyRequest parse(HttpRequest request) {
        return parser.parse(request, NO_BODY, null, 0);
    }

    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                    CLASS, METHOD, IDEMPOTENCY_KEY, EXPECTED_CLASS
                    read,  GET,    ,                0
                    pay,   POST,   k,               1
                    book,  POST,   ,                2
                    """)
    void classIsFoundByName(
            String className, String method, String idempotencyKey, int expectedClass) {
        assertEquals(
                expectedClass, parse(newRequest(method, className, idempotencyKey)).requestClass());
    }

    private static HttpRequest newRequest(String method, String className, String idempotencyKey) {
        HttpRequest request = readRequest("/").setMethod(HttpMethod.valueOf(method));
        request.headers().set("Req-Kind", className);
        if (idempotencyKey != null) {
            request.headers().set("Idempotency-Key", idempotencyKey);
        }
        return request;
    }

    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                    OWNER,         EXPECTED_TENANT
                    everyone,      0
                    north south,   1
                    'north,south', 1
                    unknown,       0
                    ,              0
                    """)
    void tenantIsFoundByNameAndUnknownOwnersGetTheFirst(String owner, int expectedTenant) {
        HttpRequest request = readRequest("/");
        if (owner != null) {
            request.headers().set("Req-Owner", owner);
        }
        assertEquals(expectedTenant, parse(request).tenant());
    }

    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                    URI,           EXPECTED_KEY
                    /api/k1,       k1
                    /api/k1?x=/k2, k1
                    /api/k1#/k2,   k1
                    /k1/,
                    /,
                    k1,            k1
                    """)
    void keyIsTheLastSegmentOfThePath(String uri, String expectedKey) {
        assertEquals(expectedKey, parse(readRequest(uri)).key());
    }

    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                    DEADLINE_MS,    EXPECTED_MICROS
                    1,              1000
                    250,            250000
                    999999999999,   999999999999000
                    """)
    void timeLeftIsParsedFromMilliseconds(String deadlineMs, long expectedMicros) {
        HttpRequest request = readRequest("/");
        request.headers().set("Req-Deadline-Ms", deadlineMs);
        assertEquals(expectedMicros, parse(request).timeLeftMicros());
    }

    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                    COST, EXPECTED_ESTIMATE
                    700,  700
                    0,    0
                    ,     -1
                    much, -1
                    -5,   -1
                    """)
    void missingOrMalformedWorkEstimateIsIgnored(String cost, long expectedEstimate) {
        HttpRequest request = readRequest("/");
        if (cost != null) {
            request.headers().set("Req-Cost", cost);
        }
        assertEquals(expectedEstimate, parse(request).workEstimate());
    }

    @ParameterizedTest
    @CsvSource({"1, true", "0, false", "true, false", ", false"})
    void requestIsResubmissionOnlyIfTheHeaderIsOne(String retry, boolean expected) {
        HttpRequest request = readRequest("/");
        if (retry != null) {
            request.headers().set("Req-Retry", retry);
        }
        assertEquals(expected, parse(request).resubmission());
    }

    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                    HEADER,          VALUE,         EXPECTED_MESSAGE
                    Req-Id,          ,              no Req-Id
                    Req-Id,          '',            no Req-Id
                    Req-Kind,        ,              unknown Req-Kind
                    Req-Kind,        other,         unknown Req-Kind
                    Req-Deadline-Ms, ,              no or bad Req-Deadline-Ms
                    Req-Deadline-Ms, 0,             no or bad Req-Deadline-Ms
                    Req-Deadline-Ms, -1,            no or bad Req-Deadline-Ms
                    Req-Deadline-Ms, 1.5,           no or bad Req-Deadline-Ms
                    Req-Deadline-Ms, soon,          no or bad Req-Deadline-Ms
                    Req-Deadline-Ms, 1000000000000, no or bad Req-Deadline-Ms
                    """)
    void missingOrBadHeaderIsInvalid(String header, String value, String expectedMessage) {
        HttpRequest request = readRequest("/");
        request.headers().remove(header);
        if (value != null) {
            request.headers().set(header, value);
        }
        assertInvalid(request, expectedMessage);
    }

    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                    CLASS, METHOD, IDEMPOTENCY_KEY
                    read,  POST,
                    read,  GET,    k
                    read,  HEAD,
                    pay,   POST,
                    pay,   GET,    k
                    book,  GET,
                    book,  POST,   k
                    """)
    void methodOrIdempotencyKeyThatContradictsTheClassIsInvalid(
            String className, String method, String idempotencyKey) {
        assertInvalid(
                newRequest(method, className, idempotencyKey),
                "method or Idempotency-Key contradicts the Req-Kind");
    }

    /** Guards against headers that are checked here and missing where they are needed. */
    @ParameterizedTest
    @CsvSource({"Req-Id", "Req-Kind", "Req-Owner", "Req-Cost", "Req-Retry", "Idempotency-Key"})
    void requestHeaderNamedByConnectionIsInvalid(String header) {
        HttpRequest request = readRequest("/");
        request.headers().add("Connection", "close");
        request.headers().add("Connection", "x-hop , " + header.toUpperCase(Locale.ROOT));
        assertInvalid(request, "Connection names " + header);
    }

    /** Guards against an upstream that uses another value than the one that was checked here. */
    @ParameterizedTest
    @CsvSource({
        "Req-Id",
        "Req-Kind",
        "Req-Owner",
        "Req-Cost",
        "Req-Retry",
        "Idempotency-Key",
        "Req-Deadline-Ms"
    })
    void repeatedRequestHeaderIsInvalid(String header) {
        HttpRequest request = newRequest("POST", "pay", "k");
        request.headers().set(header, "1").add(header, "1");
        assertInvalid(request, "more than one " + header);
    }

    /** Guards against retries of a request that no upstream recognizes as repeated. */
    @Test
    void emptyIdempotencyKeyIsInvalid() {
        assertInvalid(newRequest("POST", "pay", ""), "empty Idempotency-Key");
    }

    /** The framing and the connection's own headers are decided before, whatever it names. */
    @Test
    void connectionMayNameHeadersThatAreNotForwardedAnyway() {
        HttpRequest request = readRequest("/");
        request.headers().set("Connection", "close, Host, Content-Length, Req-Deadline-Ms, ,");
        assertEquals("r1", parse(request).clientRequestId());
    }

    private void assertInvalid(HttpRequest request, String expectedMessage) {
        InvalidRequestException rejection =
                assertThrows(InvalidRequestException.class, () -> parse(request));
        assertEquals(expectedMessage, rejection.getMessage());
    }

    @Test
    void requestLineAndBodyAreKept() {
        byte[] body = {1, 2};
        ProxyRequest parsed = parser.parse(readRequest("/api/k1?x=%20y"), body, null, body.length);
        assertEquals(HttpMethod.GET, parsed.method());
        assertEquals("/api/k1?x=%20y", parsed.uri());
        assertSame(body, parsed.body());
        assertEquals(2, parsed.contentLength());
        assertNull(parsed.upload());
    }

    @Test
    void streamedBodyIsKeptWithItsLength() {
        EmbeddedChannel client = new EmbeddedChannel();
        BodyRelay upload = new BodyRelay(client, new MemoryBudget(1_000_000), false, () -> {});
        ProxyRequest parsed = parser.parse(readRequest("/"), NO_BODY, upload, -1);
        assertSame(upload, parsed.upload());
        assertEquals(-1, parsed.contentLength());
        client.finishAndReleaseAll();
    }

    @ParameterizedTest
    @CsvSource({
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
        "Content-Length",
        "Req-Deadline-Ms",
        "rEQ-dEADLINE-mS"
    })
    void hopByHopHeaderIsNotForwarded(String header) {
        HttpRequest request = readRequest("/");
        request.headers().set(header, "1");
        assertFalse(parse(request).headers().contains(header));
    }

    @Test
    void headersNamedByConnectionAreNotForwarded() {
        HttpRequest request = readRequest("/");
        request.headers().set("X-Hop", "1").set("X-Other", "2").set("X-End", "3");
        request.headers().add("Connection", "close, x-hop").add("Connection", "X-OTHER");
        HttpHeaders forwarded = parse(request).headers();
        assertFalse(forwarded.contains("X-Hop"));
        assertFalse(forwarded.contains("X-Other"));
        assertEquals("3", forwarded.get("X-End"));
    }

    @Test
    void otherHeadersAreForwardedWithAllTheirValues() {
        HttpRequest request = readRequest("/");
        request.headers().add("X-Twice", "1").add("X-Twice", "2");
        ProxyRequest parsed = parse(request);
        assertEquals(List.of("1", "2"), parsed.headers().getAll("X-Twice"));
        assertEquals("r1", parsed.clientRequestId());
        assertTrue(
                request.headers().contains("Req-Deadline-Ms"), "the request itself is unchanged");
    }
}
