package junctionhead.net;

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
import junctionhead.Policy;
import junctionhead.SettingsReader;

/** A list of upstreams in discovery's form: all of them, or those that changed. */
record Targets(long rev, boolean all, List<Target> list) {
    /** Entries that a list may have: more would not fit beside the requests. */
    static final int MOST = 20_000;

    private static final JsonFactory JSON = new JsonFactory();

    /** An upstream as the module knows it, and where this balancer reaches it. */
    record Target(Policy.Server server, InetSocketAddress endpoint) {}

    static Targets parse(String json, SettingsReader.Boot boot) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        return parse(bytes, 0, bytes.length, boot);
    }

    static Targets parse(ByteBuf json, SettingsReader.Boot boot) {
        byte[] bytes = json.hasArray() ? json.array() : ByteBufUtil.getBytes(json);
        int from = json.hasArray() ? json.arrayOffset() + json.readerIndex() : 0;
        return parse(bytes, from, json.readableBytes(), boot);
    }

    /**
     * Reads a list as it is told, entry by entry: as one tree, a list of 14,000 took many times its
     * own size. Throws IllegalArgumentException where it isn't such a list.
     */
    static Targets parse(byte[] json, int from, int length, SettingsReader.Boot boot) {
        try (JsonParser in = JSON.createParser(json, from, length)) {
            List<Target> list = null;
            Map<String, Object> fields = new HashMap<>();
            if (in.nextToken() == JsonToken.START_OBJECT) {
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    if (in.nextToken() == JsonToken.START_ARRAY && name.equals("targets")) {
                        list = entries(in, boot);
                    }
                    put(fields, name, value(in));
                }
            }
            if (list == null) {
                throw new IllegalArgumentException("no list of targets");
            }
            return new Targets(
                    (long) number(fields.get("rev"), 0),
                    Boolean.TRUE.equals(fields.get("all")),
                    list);
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON");
        }
    }

    private static List<Target> entries(JsonParser in, SettingsReader.Boot boot)
            throws IOException {
        List<Target> list = new ArrayList<>();
        // One for all: it is emptied between them
        Map<String, Object> entry = new HashMap<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            entry.clear();
            while (in.currentToken() == JsonToken.START_OBJECT
                            && in.nextToken() == JsonToken.FIELD_NAME
                    || in.currentToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                put(entry, name, value(in));
                in.nextToken();
            }
            require(list.size() < MOST, "more than " + MOST + " targets");
            list.add(target(entry, boot));
        }
        return List.copyOf(list);
    }

    private static void put(Map<String, Object> fields, String name, Object value) {
        // As the same name came twice
        require(!fields.containsKey(name), "not JSON");
        fields.put(name, value);
    }

    // A plain value; what is in an object or a list that nobody asked for is passed over.
    private static Object value(JsonParser in) throws IOException {
        return switch (in.currentToken()) {
            case VALUE_STRING -> in.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case START_OBJECT, START_ARRAY -> {
                in.skipChildren();
                yield null;
            }
            default -> null;
        };
    }

    /** The same of a list that has been read already, as a part of something else. */
    static Targets of(Object json, SettingsReader.Boot boot) {
        if (!(json instanceof Map<?, ?> map) || !(map.get("targets") instanceof List<?> entries)) {
            throw new IllegalArgumentException("no list of targets");
        }
        require(entries.size() <= MOST, "more than " + MOST + " targets");
        List<Target> list = new ArrayList<>();
        for (Object entry : entries) {
            list.add(target(entry instanceof Map<?, ?> e ? e : Map.of(), boot));
        }
        return new Targets(
                (long) number(map.get("rev"), 0),
                Boolean.TRUE.equals(map.get("all")),
                List.copyOf(list));
    }

    private static Target target(Map<?, ?> e, SettingsReader.Boot boot) {
        if (!(e.get("uid") instanceof String uid) || uid.isEmpty()) {
            throw new IllegalArgumentException("a target without uid");
        }
        Policy.State state =
                switch (String.valueOf(e.get("state"))) {
                    case "in_service" -> Policy.State.UP;
                    case "terminating" -> Policy.State.DRAINING;
                    case "terminated" -> Policy.State.GONE;
                    default ->
                            throw new IllegalArgumentException(
                                    "unknown state: '" + e.get("state") + "'");
                };
        InetSocketAddress endpoint =
                state == Policy.State.GONE && e.get("endpoint") == null
                        ? null
                        : address(String.valueOf(e.get("endpoint")));
        double weight = number(e.get("capacity_hint"), 1);
        return new Target(
                new Policy.Server(
                        uid,
                        state,
                        (long) (number(e.get("boot_ms"), 0) * 1000),
                        weight > 0 ? weight : 1,
                        (int) number(e.get("pod_group"), -1),
                        boot.kinds().indexOf(Config.plain(e.get("model"))),
                        boot.zones().indexOf(Config.plain(e.get("az")))),
                endpoint);
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }

    List<Policy.Server> servers() {
        return list.stream().map(Target::server).toList();
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        int port = colon < 0 ? -1 : digits(text, colon + 1, text.length(), 5, 65_535);
        if (colon <= 0 || port < 0) {
            throw new IllegalArgumentException("not address:port: '" + text + "'");
        }
        byte[] four = four(text, colon);
        try {
            return four == null
                    ? Config.literal(text.substring(0, colon), port)
                    : new InetSocketAddress(InetAddress.getByAddress(four), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an address: '" + text + "'");
        }
    }

    // The usual form, four numbers; null for any other. Patterns for each took the longest of all.
    private static byte[] four(String text, int end) {
        byte[] four = new byte[4];
        int at = 0;
        for (int i = 0; i < 4; i++) {
            int dot = i == 3 ? end : text.indexOf('.', at);
            int value = dot < 0 || dot > end ? -1 : digits(text, at, dot, 3, 255);
            if (value < 0 || value > 0 && text.charAt(at) == '0') {
                return null;
            }
            four[i] = (byte) value;
            at = dot + 1;
        }
        return four;
    }

    // The number that these digits are; -1: they are none, or too many, or too large.
    private static int digits(String text, int from, int to, int many, int most) {
        int value = 0;
        for (int i = from; i < to; i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            value = Math.min(1_000_000, 10 * value + c - '0');
        }
        return to > from && to - from <= many && value <= most ? value : -1;
    }

    private static double number(Object value, double otherwise) {
        return value instanceof Number n && Double.isFinite(n.doubleValue())
                ? n.doubleValue()
                : otherwise;
    }
}
