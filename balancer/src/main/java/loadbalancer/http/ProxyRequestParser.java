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

/** Reads what a client asks for out of its request. */
public final class ProxyRequestParser {
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

    private final BootSettings boot;
    private final Map<String, Integer> classIndexes;
    // Some deployments have tens of thousands
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

    /** IllegalArgumentException where it is no proper one, with why. */
    ProxyRequest parse(HttpRequest request, byte[] body, BodyRelay upload, long contentLength) {
        HttpHeaders headers = request.headers();
        if (headers.get("Req-Id", "").isEmpty()) {
            throw new IllegalArgumentException("no Req-Id");
        }
        int requestClass =
                classIndexes.getOrDefault(
                        PlatformTerms.normalizeName(headers.get("Req-Kind", "")), -1);
        if (requestClass < 0) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        Idempotency idempotency = boot.settings().requestClasses().get(requestClass).idempotency();
        HttpMethod method =
                idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        boolean hasIdempotencyKey = headers.contains("Idempotency-Key");
        if (!request.method().equals(method)
                || hasIdempotencyKey != (idempotency == Idempotency.IDEMPOTENCY_KEY)) {
            throw new IllegalArgumentException(
                    "method or Idempotency-Key contradicts the Req-Kind");
        }
        long timeLeftMs = parseNumber(headers.get(ProxyRequest.DEADLINE_HEADER), -1);
        if (timeLeftMs <= 0) {
            throw new IllegalArgumentException("no or bad " + ProxyRequest.DEADLINE_HEADER);
        }
        String path = request.uri().split("[?#]", 2)[0];
        String key = path.substring(path.lastIndexOf('/') + 1);
        int tenant =
                tenantIndexes.getOrDefault(
                        PlatformTerms.normalizeName(headers.get("Req-Owner", "")), 0);
        return new ProxyRequest(
                request.method(),
                request.uri(),
                endToEndHeaders(headers),
                body,
                requestClass,
                tenant,
                key.isEmpty() ? null : key,
                timeLeftMs * 1000,
                parseNumber(headers.get("Req-Cost"), -1),
                "1".equals(headers.get("Req-Retry")),
                upload,
                contentLength);
    }

    private static long parseNumber(String text, long defaultValue) {
        return text != null && text.strip().matches("\\d{1,12}")
                ? Long.parseLong(text.strip())
                : defaultValue;
    }

    private static HttpHeaders endToEndHeaders(HttpHeaders headers) {
        HttpHeaders forwarded = new DefaultHttpHeaders();
        Set<String> connectionOptions =
                Set.copyOf(
                        headers.getAll(HttpHeaderNames.CONNECTION).stream()
                                .flatMap(
                                        value ->
                                                Stream.of(
                                                        value.toLowerCase(Locale.ROOT)
                                                                .split("\\s*,\\s*")))
                                .distinct()
                                .toList());
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_HEADERS.contains(name) && !connectionOptions.contains(name)) {
                forwarded.add(header.getKey(), header.getValue());
            }
        }
        return forwarded;
    }
}
