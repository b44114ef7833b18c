package junctionhead.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import junctionhead.Kept;

/** {@link Kept} as plain maps and lists, for JSON; what is odd in them is refused as a whole. */
final class KeptForm {
    private static final double COUNT_MOST = 1e9;
    // µs that anything rests at most, and more
    private static final long TIME_MOST = 60_000_000;
    private static final int FEW = 1_000_000;

    private KeptForm() {}

    static Map<String, Object> write(Kept kept) {
        List<Object> servers = new ArrayList<>();
        for (Kept.OfServer s : kept.servers()) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("uid", s.id());
            one.put("started", s.startedAt());
            one.put("count", s.count());
            one.put("served", s.served());
            one.put("failed", s.failed());
            one.put("rests", s.restsFor());
            one.put("ejections", s.ejections());
            one.put("unreached", s.unreached());
            one.put("class_rests", s.classRests());
            servers.add(one);
        }
        return Map.of("servers", servers, "latencies", kept.latencies());
    }

    /**
     * What {@link #write} wrote.
     *
     * @throws IllegalArgumentException where it is anything else
     */
    static Kept read(Object from) {
        List<Kept.OfServer> servers = new ArrayList<>();
        for (Object each : list(map(from).get("servers"))) {
            Map<?, ?> one = map(each);
            if (!(one.get("uid") instanceof String id)) {
                throw new IllegalArgumentException("no server");
            }
            servers.add(
                    new Kept.OfServer(
                            id,
                            (long) number(one.get("started"), Long.MAX_VALUE),
                            number(one.get("count"), COUNT_MOST),
                            number(one.get("served"), COUNT_MOST),
                            number(one.get("failed"), COUNT_MOST),
                            (long) number(one.get("rests"), TIME_MOST),
                            (int) number(one.get("ejections"), FEW),
                            (int) number(one.get("unreached"), FEW),
                            list(one.get("class_rests")).stream()
                                    .map(r -> (long) number(r, TIME_MOST))
                                    .toList()));
        }
        return new Kept(
                servers,
                list(map(from).get("latencies")).stream().map(l -> number(l, COUNT_MOST)).toList());
    }

    private static Map<?, ?> map(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new IllegalArgumentException("no object");
    }

    private static List<?> list(Object value) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new IllegalArgumentException("no list");
    }

    private static double number(Object value, double most) {
        if (value instanceof Number n && n.doubleValue() >= 0 && n.doubleValue() <= most) {
            return n instanceof Long || n instanceof Integer ? n.longValue() : n.doubleValue();
        }
        throw new IllegalArgumentException("no number from 0 to " + most + ": " + value);
    }
}
