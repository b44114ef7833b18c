package loadbalancer.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import loadbalancer.config.BootSettings;
import loadbalancer.config.PlatformTerms;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.routing.api.Idempotency;

/**
 * Parses the head of a client's request into a {@link ProxyRequest}: class, tenant, key, deadline
 * and the headers to forward. Immutable; may be used by any thread.
 */
final class ProxyRequestParser {
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length",
                    ProxyRequest.DEADLINE_HEADER.toLowerCase(Locale.ROOT));

    // Headers by which the request is routed, and by which the upstream recognizes a repeat.
    private static final List<String> REQUEST_HEADERS =
            List.of("Req-Id", "Req-Kind", "Req-Owner", "Req-Cost", "Req-Retry", "Idempotency-Key");

    private static final int DEFAULT_TENANT = 0;
    private static final long MICROS_PER_MS = 1000;

    private final BootSettings boot;
    private final Map<String, Integer> classIndexes;
    // A map because some deployments have tens of thousands of tenants.
    private final Map<String, Integer> tenantIndexes;

    ProxyRequestParser(BootSettings boot) {
        this.boot = boot;
        this.classIndexes = indexByName(boot.classNames());
        this.tenantIndexes = indexByName(boot.tenantNames());
    }

    private static Map<String, Integer> indexByName(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            indexes.putIfAbsent(names.get(i), i);
        }
        return indexes;
    }

    /**
     * Parses a request.
     *
     * @param body the buffered body; empty if the body is streamed
     * @param upload the streamed body, or null
     * @param contentLength the length of the body in bytes, or negative if it is unknown
     * @throws InvalidRequestException if a header is missing, empty or repeated, contradicts the
     *     class's settings or would not be forwarded because Connection names it
     * @throws IllegalArgumentException if a header to be forwarded is malformed
     */
    ProxyRequest parse(HttpRequest request, byte[] body, BodyRelay upload, long contentLength) {
        HttpHeaders headers = request.headers();
        Set<String> connectionOptions = connectionOptions(headers);
        checkNotHopByHop(connectionOptions);
        checkNotRepeated(headers);
        if (headers.get("Req-Id", "").isEmpty()) {
            throw new InvalidRequestException("no Req-Id");
        }
        int requestClass = parseRequestClass(headers);
        checkIdempotency(request, requestClass);
        long timeLeftMs = parseNumber(headers.get(ProxyRequest.DEADLINE_HEADER), -1);
        if (timeLeftMs <= 0) {
            throw new InvalidRequestException("no or bad " + ProxyRequest.DEADLINE_HEADER);
        }
        return new ProxyRequest(
                request.method(),
                request.uri(),
                endToEndHeaders(headers, connectionOptions),
                body,
                requestClass,
                parseTenant(headers),
                parseKey(request.uri()),
                timeLeftMs * MICROS_PER_MS,
                parseNumber(headers.get("Req-Cost"), -1),
                "1".equals(headers.get("Req-Retry")),
                upload,
                contentLength);
    }

    // The headers that Connection names are not forwarded.
    private static void checkNotHopByHop(Set<String> connectionOptions) {
        for (String name : REQUEST_HEADERS) {
            if (connectionOptions.contains(name.toLowerCase(Locale.ROOT))) {
                throw new InvalidRequestException("Connection names " + name);
            }
        }
    }

    // Of several values, upstreams may use another one than this balancer.
    private static void checkNotRepeated(HttpHeaders headers) {
        for (String name : REQUEST_HEADERS) {
            checkNotRepeated(headers, name);
        }
        checkNotRepeated(headers, ProxyRequest.DEADLINE_HEADER);
    }

    private static void checkNotRepeated(HttpHeaders headers, String name) {
        if (headers.getAll(name).size() > 1) {
            throw new InvalidRequestException("more than one " + name);
        }
    }

    private int parseRequestClass(HttpHeaders headers) {
        String className = PlatformTerms.normalizeName(headers.get("Req-Kind", ""));
        int requestClass = classIndexes.getOrDefault(className, -1);
        if (requestClass < 0) {
            throw new InvalidRequestException("unknown Req-Kind");
        }
        return requestClass;
    }

    private void checkIdempotency(HttpRequest request, int requestClass) {
        Idempotency idempotency = boot.settings().requestClasses().get(requestClass).idempotency();
        HttpMethod method =
                idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        boolean hasIdempotencyKey = request.headers().contains("Idempotency-Key");
        if (hasIdempotencyKey && request.headers().get("Idempotency-Key").isEmpty()) {
            throw new InvalidRequestException("empty Idempotency-Key");
        }
        if (!request.method().equals(method)
                || hasIdempotencyKey != (idempotency == Idempotency.IDEMPOTENCY_KEY)) {
            throw new InvalidRequestException("method or Idempotency-Key contradicts the Req-Kind");
        }
    }

    private int parseTenant(HttpHeaders headers) {
        String tenantName = PlatformTerms.normalizeName(headers.get("Req-Owner", ""));
        return tenantIndexes.getOrDefault(tenantName, DEFAULT_TENANT);
    }

    // Returns the last segment of the path, or null if it is empty.
    private static String parseKey(String uri) {
        String path = uri.split("[?#]", 2)[0];
        String key = path.substring(path.lastIndexOf('/') + 1);
        return key.isEmpty() ? null : key;
    }

    private static long parseNumber(String text, long defaultValue) {
        return text != null && text.strip().matches("\\d{1,12}")
                ? Long.parseLong(text.strip())
                : defaultValue;
    }

    private static HttpHeaders endToEndHeaders(HttpHeaders headers, Set<String> connectionOptions) {
        HttpHeaders forwarded = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_HEADERS.contains(name) && !connectionOptions.contains(name)) {
                forwarded.add(header.getKey(), header.getValue());
            }
        }
        return forwarded;
    }

    // Returns the names that Connection lists as hop-by-hop headers, in lower case.
    private static Set<String> connectionOptions(HttpHeaders headers) {
        return Set.copyOf(
                headers.getAll(HttpHeaderNames.CONNECTION).stream()
                        .flatMap(
                                value ->
                                        Stream.of(
                                                value.toLowerCase(Locale.ROOT).split("\\s*,\\s*")))
                        .distinct()
                        .toList());
    }
}
