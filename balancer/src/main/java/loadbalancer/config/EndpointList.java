package loadbalancer.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;

/** A list of upstreams in discovery's form: all of them, or those that changed. */
public record EndpointList(long revision, boolean complete, List<Entry> entries) {
    /** Entries that a list may have: more would not fit beside the requests. */
    static final int MAX_ENTRIES = 20_000;

    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    /** An upstream as the module knows it, and where this balancer reaches it. */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}

    public static EndpointList parse(String json, BootSettings boot) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        return parse(bytes, 0, bytes.length, boot);
    }

    public static EndpointList parse(ByteBuf json, BootSettings boot) {
        byte[] bytes = json.hasArray() ? json.array() : ByteBufUtil.getBytes(json);
        int offset = json.hasArray() ? json.arrayOffset() + json.readerIndex() : 0;
        return parse(bytes, offset, json.readableBytes(), boot);
    }

    /**
     * Reads a list as it is told, entry by entry: as one tree, a list of 14,000 took many times its
     * own size. Throws IllegalArgumentException where it isn't such a list.
     */
    public static EndpointList parse(byte[] json, int offset, int length, BootSettings boot) {
        try (JsonParser parser = JSON_FACTORY.createParser(json, offset, length)) {
            List<Entry> entries = null;
            Map<String, Object> fields = new HashMap<>();
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String name = parser.currentName();
                    if (parser.nextToken() == JsonToken.START_ARRAY && name.equals("targets")) {
                        entries = readEntries(parser, boot);
                    }
                    putUnique(fields, name, readValue(parser));
                }
            }
            if (entries == null) {
                throw new IllegalArgumentException("no list of targets");
            }
            return new EndpointList(
                    (long) numberOr(fields.get("rev"), 0),
                    Boolean.TRUE.equals(fields.get("all")),
                    entries);
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON");
        }
    }

    private static List<Entry> readEntries(JsonParser parser, BootSettings boot)
            throws IOException {
        List<Entry> entries = new ArrayList<>();
        // One for all: it is emptied between them
        Map<String, Object> fields = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            fields.clear();
            while (parser.currentToken() == JsonToken.START_OBJECT
                            && parser.nextToken() == JsonToken.FIELD_NAME
                    || parser.currentToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                putUnique(fields, name, readValue(parser));
                parser.nextToken();
            }
            require(entries.size() < MAX_ENTRIES, "more than " + MAX_ENTRIES + " targets");
            entries.add(toEntry(fields, boot));
        }
        return List.copyOf(entries);
    }

    private static void putUnique(Map<String, Object> fields, String name, Object value) {
        // As the same name came twice
        require(!fields.containsKey(name), "not JSON");
        fields.put(name, value);
    }

    // A plain value; what is in an object or a list that nobody asked for is passed over.
    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case START_OBJECT, START_ARRAY -> {
                parser.skipChildren();
                yield null;
            }
            default -> null;
        };
    }

    /** The same of a list that has been read already, as a part of something else. */
    public static EndpointList fromJson(Object json, BootSettings boot) {
        if (!(json instanceof Map<?, ?> map) || !(map.get("targets") instanceof List<?> targets)) {
            throw new IllegalArgumentException("no list of targets");
        }
        require(targets.size() <= MAX_ENTRIES, "more than " + MAX_ENTRIES + " targets");
        List<Entry> entries = new ArrayList<>();
        for (Object entry : targets) {
            entries.add(toEntry(entry instanceof Map<?, ?> e ? e : Map.of(), boot));
        }
        return new EndpointList(
                (long) numberOr(map.get("rev"), 0),
                Boolean.TRUE.equals(map.get("all")),
                List.copyOf(entries));
    }

    private static Entry toEntry(Map<?, ?> fields, BootSettings boot) {
        if (!(fields.get("uid") instanceof String uid) || uid.isEmpty()) {
            throw new IllegalArgumentException("a target without uid");
        }
        EndpointStatus status =
                switch (String.valueOf(fields.get("state"))) {
                    case "in_service" -> EndpointStatus.UP;
                    case "terminating" -> EndpointStatus.DRAINING;
                    case "terminated" -> EndpointStatus.REMOVED;
                    default ->
                            throw new IllegalArgumentException(
                                    "unknown state: '" + fields.get("state") + "'");
                };
        InetSocketAddress address =
                status == EndpointStatus.REMOVED && fields.get("endpoint") == null
                        ? null
                        : parseAddress(String.valueOf(fields.get("endpoint")));
        double weight = numberOr(fields.get("capacity_hint"), 1);
        return new Entry(
                new Endpoint(
                        uid,
                        status,
                        (long) (numberOr(fields.get("boot_ms"), 0) * 1000),
                        weight > 0 ? weight : 1,
                        (int) numberOr(fields.get("pod_group"), -1),
                        boot.machineTypeNames()
                                .indexOf(BalancerConfig.toWireValue(fields.get("model"))),
                        boot.zoneNames().indexOf(BalancerConfig.toWireValue(fields.get("az")))),
                address);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    public List<Endpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }

    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        int port = colon < 0 ? -1 : parseDigits(text, colon + 1, text.length(), 5, 65_535);
        if (colon <= 0 || port < 0) {
            throw new IllegalArgumentException("not address:port: '" + text + "'");
        }
        byte[] ipv4Bytes = parseIpv4(text, colon);
        try {
            return ipv4Bytes == null
                    ? BalancerConfig.parseIpLiteral(text.substring(0, colon), port)
                    : new InetSocketAddress(InetAddress.getByAddress(ipv4Bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an address: '" + text + "'");
        }
    }

    // The usual form, four numbers; null for any other. Patterns for each took the longest of all.
    private static byte[] parseIpv4(String text, int end) {
        byte[] octets = new byte[4];
        int start = 0;
        for (int i = 0; i < 4; i++) {
            int dot = i == 3 ? end : text.indexOf('.', start);
            int value = dot < 0 || dot > end ? -1 : parseDigits(text, start, dot, 3, 255);
            if (value < 0 || value > 0 && text.charAt(start) == '0') {
                return null;
            }
            octets[i] = (byte) value;
            start = dot + 1;
        }
        return octets;
    }

    // The number that these digits are; -1: they are none, or too many, or too large.
    private static int parseDigits(String text, int from, int to, int maxDigits, int max) {
        int value = 0;
        for (int i = from; i < to; i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            value = Math.min(1_000_000, 10 * value + c - '0');
        }
        return to > from && to - from <= maxDigits && value <= max ? value : -1;
    }

    private static double numberOr(Object value, double defaultValue) {
        return value instanceof Number n && Double.isFinite(n.doubleValue())
                ? n.doubleValue()
                : defaultValue;
    }
}
