package loadbalancer.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;

/**
 * Decodes endpoint lists from discovery's JSON, {@code {"rev": N, "all": true, "targets": [...]}},
 * and encodes lists in the same form. Unknown fields are skipped. All decoding methods throw an
 * {@link InvalidEndpointListException} for a document that is not such a list. Stateless.
 */
public final class EndpointListCodec {
    /** Maximum number of entries; more would not fit into memory along with the requests. */
    static final int MAX_ENTRIES = 20_000;

    private static final String ENTRIES_FIELD = "targets";
    private static final String REVISION_FIELD = "rev";
    private static final String COMPLETE_FIELD = "all";
    // Fields of one entry.
    private static final String ID_FIELD = "uid";
    private static final String ADDRESS_FIELD = "endpoint";
    private static final String STATUS_FIELD = "state";
    private static final String WEIGHT_FIELD = "capacity_hint";
    private static final String STARTED_AT_FIELD = "boot_ms";
    private static final String CELL_FIELD = "pod_group";
    private static final String MACHINE_TYPE_FIELD = "model";
    private static final String ZONE_FIELD = "az";

    private static final long MICROS_PER_MS = 1_000;
    private static final int UNKNOWN_CELL = -1;
    // Larger whole numbers have no exact double.
    private static final double MAX_REVISION = 0x1p53;
    private static final double MAX_STARTED_AT_MS = 1e15;
    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private EndpointListCodec() {}

    /** Decodes a JSON text. {@code boot} provides the names of zones and machine types. */
    public static EndpointList decode(String json, BootSettings boot) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        return decode(bytes, 0, bytes.length, boot);
    }

    /**
     * Decodes the readable bytes of {@code json}, whose reference count and indexes stay the same.
     */
    public static EndpointList decode(ByteBuf json, BootSettings boot) {
        byte[] bytes = json.hasArray() ? json.array() : ByteBufUtil.getBytes(json);
        int offset = json.hasArray() ? json.arrayOffset() + json.readerIndex() : 0;
        return decode(bytes, offset, json.readableBytes(), boot);
    }

    /**
     * Decodes {@code length} bytes of UTF-8 that begin at {@code offset}. Reads entry by entry,
     * because the tree of a list with 14,000 entries takes many times the memory of the list.
     */
    public static EndpointList decode(byte[] json, int offset, int length, BootSettings boot) {
        try (JsonParser parser = JSON_FACTORY.createParser(json, offset, length)) {
            Optional<List<EndpointList.Entry>> entries = Optional.empty();
            Map<String, Object> fields = new HashMap<>();
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String name = parser.currentName();
                    JsonToken valueStart = parser.nextToken();
                    if (valueStart == JsonToken.START_ARRAY && name.equals(ENTRIES_FIELD)) {
                        entries = Optional.of(decodeEntries(parser, boot));
                    }
                    putUnique(fields, name, readPlainValue(parser));
                }
            }
            return toEndpointList(fields, entries.orElseThrow(EndpointListCodec::missingEntries));
        } catch (IOException e) {
            throw new InvalidEndpointListException("not JSON", e);
        }
    }

    /** Decodes a list that is part of a larger document, from its JSON tree. */
    static EndpointList decodeTree(Object json, BootSettings boot) {
        if (!(json instanceof Map<?, ?> fields)
                || !(fields.get(ENTRIES_FIELD) instanceof List<?> elements)) {
            throw missingEntries();
        }
        requireEntryCount(elements.size());
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Object element : elements) {
            entries.add(toEntry(element instanceof Map<?, ?> map ? map : Map.of(), boot));
        }
        return toEndpointList(fields, List.copyOf(entries));
    }

    private static List<EndpointList.Entry> decodeEntries(JsonParser parser, BootSettings boot)
            throws IOException {
        List<EndpointList.Entry> entries = new ArrayList<>();
        // All entries share one map; a map per entry would dominate the allocations of decoding.
        Map<String, Object> fields = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            fields.clear();
            if (parser.currentToken() == JsonToken.START_OBJECT) {
                readFields(parser, fields);
            }
            requireEntryCount(entries.size() + 1);
            entries.add(toEntry(fields, boot));
        }
        return List.copyOf(entries);
    }

    private static void readFields(JsonParser parser, Map<String, Object> fields)
            throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            putUnique(fields, name, readPlainValue(parser));
        }
    }

    // Rejects duplicate names, as the JSON reader of the configuration does.
    private static void putUnique(Map<String, Object> fields, String name, Object value) {
        if (fields.containsKey(name)) {
            throw new InvalidEndpointListException("not JSON");
        }
        fields.put(name, value);
    }

    // Returns a string, number or boolean. Skips objects and arrays and returns null for them, as
    // for JSON's null.
    private static Object readPlainValue(JsonParser parser) throws IOException {
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

    private static EndpointList toEndpointList(Map<?, ?> fields, List<EndpointList.Entry> entries) {
        long revision = wholeNumber(fields, REVISION_FIELD, 0, MAX_REVISION);
        boolean complete = Boolean.TRUE.equals(fields.get(COMPLETE_FIELD));
        return new EndpointList(revision, complete, entries);
    }

    private static EndpointList.Entry toEntry(Map<?, ?> fields, BootSettings boot) {
        if (!(fields.get(ID_FIELD) instanceof String id) || id.isEmpty()) {
            throw new InvalidEndpointListException("a target without uid");
        }
        EndpointStatus status = toStatus(fields.get(STATUS_FIELD));
        Optional<InetSocketAddress> address = toAddress(fields.get(ADDRESS_FIELD), status);
        double weight = finiteNumber(fields.get(WEIGHT_FIELD), 1);
        Endpoint endpoint =
                new Endpoint(
                        id,
                        status,
                        startedAtMicros(fields),
                        weight > 0 ? weight : 1,
                        (int) wholeNumber(fields, CELL_FIELD, UNKNOWN_CELL, Integer.MAX_VALUE),
                        PlatformTerms.indexOfName(
                                boot.machineTypeNames(), fields.get(MACHINE_TYPE_FIELD)),
                        PlatformTerms.indexOfName(boot.zoneNames(), fields.get(ZONE_FIELD)));
        return new EndpointList.Entry(endpoint, address);
    }

    private static EndpointStatus toStatus(Object state) {
        return PlatformTerms.endpointStatus(String.valueOf(state))
                .orElseThrow(
                        () -> new InvalidEndpointListException("unknown state: '" + state + "'"));
    }

    private static Optional<InetSocketAddress> toAddress(Object address, EndpointStatus status) {
        if (address == null && status == EndpointStatus.REMOVED) {
            return Optional.empty();
        }
        try {
            return Optional.of(SocketAddressParser.parse(String.valueOf(address)));
        } catch (InvalidAddressException e) {
            throw new InvalidEndpointListException(e.getMessage(), e);
        }
    }

    private static long startedAtMicros(Map<?, ?> fields) {
        double startedAtMs = finiteNumber(fields.get(STARTED_AT_FIELD), 0);
        requireRange(STARTED_AT_FIELD, startedAtMs, MAX_STARTED_AT_MS);
        return (long) (startedAtMs * MICROS_PER_MS);
    }

    private static long wholeNumber(
            Map<?, ?> fields, String name, double defaultValue, double max) {
        double number = finiteNumber(fields.get(name), defaultValue);
        requireRange(name, number, max);
        return (long) number;
    }

    // A cast would take the nearest value that fits instead.
    private static void requireRange(String name, double number, double max) {
        if (Math.abs(number) > max) {
            throw new InvalidEndpointListException(name + " out of range: " + number);
        }
    }

    private static double finiteNumber(Object value, double defaultValue) {
        if (!(value instanceof Number number)) {
            return defaultValue;
        }
        if (!Double.isFinite(number.doubleValue())) {
            throw new InvalidEndpointListException("a number out of range");
        }
        return number.doubleValue();
    }

    private static void requireEntryCount(int entryCount) {
        if (entryCount > MAX_ENTRIES) {
            throw new InvalidEndpointListException("more than " + MAX_ENTRIES + " targets");
        }
    }

    private static InvalidEndpointListException missingEntries() {
        return new InvalidEndpointListException("no list of targets");
    }

    /**
     * Returns a tree for a JSON writer whose output {@link #decode} decodes to {@code endpointList}
     * again. The caller may add fields.
     *
     * @throws java.util.NoSuchElementException if an entry has no address
     */
    public static Map<String, Object> encodeTree(EndpointList endpointList, BootSettings boot) {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put(REVISION_FIELD, endpointList.revision());
        tree.put(COMPLETE_FIELD, endpointList.complete());
        tree.put(
                ENTRIES_FIELD,
                endpointList.entries().stream().map(entry -> encodeEntry(entry, boot)).toList());
        return tree;
    }

    private static Map<String, Object> encodeEntry(EndpointList.Entry entry, BootSettings boot) {
        Endpoint endpoint = entry.endpoint();
        InetSocketAddress address = entry.address().orElseThrow();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(ID_FIELD, endpoint.id());
        fields.put(ADDRESS_FIELD, address.getAddress().getHostAddress() + ":" + address.getPort());
        fields.put(STATUS_FIELD, PlatformTerms.endpointStatusTerm(endpoint.status()));
        fields.put(WEIGHT_FIELD, endpoint.weight());
        fields.put(STARTED_AT_FIELD, endpoint.startedAtMicros() / MICROS_PER_MS);
        fields.put(CELL_FIELD, endpoint.cell());
        if (endpoint.zone() >= 0) {
            fields.put(ZONE_FIELD, boot.zoneNames().get(endpoint.zone()));
        }
        if (endpoint.machineType() >= 0) {
            fields.put(MACHINE_TYPE_FIELD, boot.machineTypeNames().get(endpoint.machineType()));
        }
        return fields;
    }
}
