package loadbalancer.simulator;

import java.util.Base64;
import loadbalancer.config.InvalidValueException;
import loadbalancer.config.NumberParser;

/**
 * One line of the wire: its name and its values, read with plain complaints about what is
 * malformed.
 */
final class WireFrame {
    private final long lineNumber;
    private final String[] columns;

    WireFrame(long lineNumber, String text) {
        this.lineNumber = lineNumber;
        this.columns = text.split("\t", -1);
    }

    String name() {
        return columns[0];
    }

    int valueCount() {
        return columns.length - 1;
    }

    WireFormatException malformed(String field, String problem) {
        return new WireFormatException(
                "line " + lineNumber + ": " + columns[0] + ": field " + field + ": " + problem);
    }

    /** Checks the number of values, so that a cut or joined line is noticed. */
    WireFrame requireFields(String... fields) {
        if (valueCount() < fields.length) {
            throw malformed(fields[valueCount()], "is missing");
        }
        if (valueCount() > fields.length) {
            throw malformed(
                    fields.length == 0 ? "1" : fields[fields.length - 1],
                    "is followed by "
                            + (valueCount() - fields.length)
                            + " more value(s) than the message has");
        }
        return this;
    }

    String rawValue(int position, String field) {
        if (position > valueCount()) {
            throw malformed(field, "is missing");
        }
        return columns[position];
    }

    String requiredText(int position, String field) {
        String value = rawValue(position, field);
        if (value.isEmpty() || value.equals("-")) {
            throw malformed(field, "is absent");
        }
        return value;
    }

    boolean isAbsent(int position, String field) {
        return rawValue(position, field).equals("-");
    }

    long longValue(int position, String field) {
        try {
            return NumberParser.parseLong(requiredText(position, field));
        } catch (InvalidValueException e) {
            throw malformed(field, e.getMessage());
        }
    }

    long longValue(int position, String field, long defaultValue) {
        return isAbsent(position, field) ? defaultValue : longValue(position, field);
    }

    int index(int position, String field, int limit) {
        long value = longValue(position, field);
        if (value < 0 || value >= limit) {
            throw malformed(field, "not between 0 and " + (limit - 1) + ": " + value);
        }
        return (int) value;
    }

    /** An index that may be absent: -1 then. */
    int index(int position, String field) {
        return isAbsent(position, field) ? -1 : index(position, field, Integer.MAX_VALUE);
    }

    double doubleValue(int position, String field) {
        return doubleValue(requiredText(position, field), field);
    }

    double doubleValue(String value, String field) {
        try {
            return NumberParser.parseFiniteDouble(value);
        } catch (InvalidValueException e) {
            throw malformed(field, e.getMessage());
        }
    }

    boolean booleanValue(int position, String field) {
        return switch (requiredText(position, field)) {
            case "1" -> true;
            case "0" -> false;
            default -> throw malformed(field, "not 0 or 1: '" + rawValue(position, field) + "'");
        };
    }

    byte[] decodedBytes(int position, String field) {
        if (isAbsent(position, field)) {
            return new byte[0];
        }
        try {
            return Base64.getDecoder().decode(rawValue(position, field));
        } catch (IllegalArgumentException e) {
            throw malformed(field, "not base64: '" + rawValue(position, field) + "'");
        }
    }
}
