package loadbalancer.simulator;

import java.util.Base64;
import java.util.Map;
import loadbalancer.config.InvalidValueException;
import loadbalancer.config.NumberParser;

/**
 * One line of the simulator's wire protocol: the name of a message and its values, separated by
 * tabs. The caller declares the names of the fields once, then reads values by field name. Methods
 * that declare fields or parse a value throw {@link WireFormatException} with line, message and
 * field if the line is malformed. Confined to the thread that reads the input.
 */
final class WireFrame {
    private static final String SEPARATOR = "\t";
    private static final String ABSENT = "-";
    private static final String[] NO_FIELD_NAMES = {};

    private final long lineNumber;
    // The message name, followed by the values.
    private final String[] columns;
    private String[] fieldNames = NO_FIELD_NAMES;

    WireFrame(long lineNumber, String text) {
        this.lineNumber = lineNumber;
        this.columns = text.split(SEPARATOR, -1);
    }

    /** Returns the message name. */
    String name() {
        return columns[0];
    }

    int valueCount() {
        return columns.length - 1;
    }

    /** Creates the exception for a fault in a field of this line. */
    WireFormatException malformed(String field, String problem) {
        return new WireFormatException(lineNumber, name(), field, problem);
    }

    /**
     * Declares all fields of the message.
     *
     * @throws WireFormatException if the line has another number of values, because it was
     *     truncated or joined with another line
     */
    WireFrame withFields(String... names) {
        withLeadingFields(names);
        int surplus = valueCount() - names.length;
        if (surplus > 0) {
            throw malformed(
                    names.length == 0 ? "1" : names[names.length - 1],
                    "is followed by " + surplus + " unexpected value(s)");
        }
        return this;
    }

    /**
     * Declares the leading fields of a message whose remaining values have no names.
     *
     * @throws WireFormatException if the line has fewer values
     */
    WireFrame withLeadingFields(String... names) {
        if (valueCount() < names.length) {
            throw malformed(names[valueCount()], "is missing");
        }
        fieldNames = names;
        return this;
    }

    /** Returns the value at {@code position}; position 1 follows the message name. */
    String valueAt(int position) {
        return columns[position];
    }

    /**
     * Returns the value of a declared field as written, which may be the marker of an absent value.
     *
     * @throws IllegalStateException if the field is not declared
     */
    String rawValue(String field) {
        for (int i = 0; i < fieldNames.length; i++) {
            if (fieldNames[i].equals(field)) {
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

    /** Returns the field's value, an integer from 0 to {@code limit} - 1. */
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

    /** Parses a number that is all or part of the field's value. */
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

    /**
     * Returns the constant to which the field's value maps.
     *
     * @param kind what the error message calls a value of this field
     * @param terms the constants by the terms of the protocol
     */
    <E> E term(String field, String kind, Map<String, E> terms) {
        String value = text(field);
        E constant = terms.get(value);
        if (constant == null) {
            throw malformed(field, "unknown " + kind + ": '" + value + "'");
        }
        return constant;
    }

    /** Decodes the field's Base64 value. Returns an empty array if the field is absent. */
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
