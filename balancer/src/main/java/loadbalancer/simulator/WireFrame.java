package loadbalancer.simulator;

import java.util.Base64;
import java.util.Map;
import loadbalancer.config.InvalidValueException;
import loadbalancer.config.NumberParser;

/**
 * One line of the simulator's wire: the name of a message and its values, separated by tabs. Its
 * reader declares the message's fields once, then reads values by field. All methods that read
 * throw {@link WireFormatException} with line, message and field. Belongs to the thread that reads
 * the wire.
 */
final class WireFrame {
    private static final String SEPARATOR = "\t";
    private static final String ABSENT = "-";
    private static final String[] NO_FIELDS = {};

    private final long lineNumber;
    // The name, then the values
    private final String[] columns;
    private String[] fields = NO_FIELDS;

    WireFrame(long lineNumber, String text) {
        this.lineNumber = lineNumber;
        this.columns = text.split(SEPARATOR, -1);
    }

    /** The message's name. */
    String name() {
        return columns[0];
    }

    int valueCount() {
        return columns.length - 1;
    }

    /** The exception for what is wrong with a field of this line. */
    WireFormatException malformed(String field, String problem) {
        return new WireFormatException(lineNumber, name(), field, problem);
    }

    /** Declares all fields; another number of values means that the line was cut or joined. */
    WireFrame withFields(String... names) {
        withLeadingFields(names);
        int surplus = valueCount() - names.length;
        if (surplus > 0) {
            throw malformed(
                    names.length == 0 ? "1" : names[names.length - 1],
                    "is followed by " + surplus + " more value(s) than the message has");
        }
        return this;
    }

    /** Declares the first fields of a message whose further values have no names. */
    WireFrame withLeadingFields(String... names) {
        if (valueCount() < names.length) {
            throw malformed(names[valueCount()], "is missing");
        }
        fields = names;
        return this;
    }

    /** The value at a position, of which 1 is the first after the name. */
    String valueAt(int position) {
        return columns[position];
    }

    /** The value of a declared field, be it as absent. */
    String rawValue(String field) {
        for (int i = 0; i < fields.length; i++) {
            if (fields[i].equals(field)) {
                return valueAt(i + 1);
            }
        }
        throw new IllegalStateException("field " + field + " of " + name() + " is not declared");
    }

    boolean isAbsent(String field) {
        return rawValue(field).equals(ABSENT);
    }

    String text(String field) {
        String value = rawValue(field);
        if (value.isEmpty() || value.equals(ABSENT)) {
            throw malformed(field, "is absent");
        }
        return value;
    }

    long integer(String field) {
        try {
            return NumberParser.parseLong(text(field));
        } catch (InvalidValueException e) {
            throw malformed(field, e.getMessage());
        }
    }

    long integer(String field, long defaultValue) {
        return isAbsent(field) ? defaultValue : integer(field);
    }

    /** A number from 0 to below {@code limit}. */
    int index(String field, int limit) {
        long value = integer(field);
        if (value < 0 || value >= limit) {
            throw malformed(field, "not between 0 and " + (limit - 1) + ": " + value);
        }
        return (int) value;
    }

    int index(String field, int limit, int defaultValue) {
        return isAbsent(field) ? defaultValue : index(field, limit);
    }

    double number(String field) {
        return parseNumber(field, text(field));
    }

    double number(String field, double defaultValue) {
        return isAbsent(field) ? defaultValue : number(field);
    }

    /** Parses a number that is a part of a field's value. */
    double parseNumber(String field, String value) {
        try {
            return NumberParser.parseFiniteDouble(value);
        } catch (InvalidValueException e) {
            throw malformed(field, e.getMessage());
        }
    }

    boolean flag(String field) {
        return switch (text(field)) {
            case "1" -> true;
            case "0" -> false;
            default -> throw malformed(field, "not 0 or 1: '" + rawValue(field) + "'");
        };
    }

    /** The constant that a term of the wire stands for; {@code kind} is what the term is called. */
    <E> E term(String field, String kind, Map<String, E> terms) {
        String value = text(field);
        E constant = terms.get(value);
        if (constant == null) {
            throw malformed(field, "unknown " + kind + ": '" + value + "'");
        }
        return constant;
    }

    /** Bytes in Base64; none where the field is absent. */
    byte[] bytes(String field) {
        if (isAbsent(field)) {
            return new byte[0];
        }
        String value = rawValue(field);
        try {
            return Base64.getDecoder().decode(value);
        } catch (IllegalArgumentException e) {
            throw malformed(field, "not base64: '" + value + "'");
        }
    }
}
