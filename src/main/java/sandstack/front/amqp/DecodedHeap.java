package sandstack.front.amqp;

import java.lang.reflect.Array;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.DescribedType;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.messaging.Modified;
import org.apache.qpid.protonj2.types.messaging.Rejected;
import org.apache.qpid.protonj2.types.messaging.Source;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;

/**
 * Estimates the heap of values that the AMQP engine has decoded, which may be many times their size on the wire. The
 * estimate is an upper bound for 64-bit JVMs with compressed references. Stateless.
 */
final class DecodedHeap {
    /** A number, a timestamp or another small object. */
    private static final long OBJECT_BYTES = 32;

    /** A container without elements. */
    private static final long CONTAINER_BYTES = 160;
    /** A map entry with its share of the table, in the decoded map and in a copy of it that is forwarded. */
    private static final long ENTRY_BYTES = 128;

    private static final long ELEMENT_BYTES = 16;
    /** A text without its characters; a symbol is also held by the library's cache. */
    private static final long TEXT_BYTES = 160;

    private static final long BYTES_PER_CHAR = 2;
    /** A binary value without its bytes: it has a buffer object and a registered cleaner. */
    private static final long BINARY_BYTES = 320;
    /** A terminus, a delivery state or an error. */
    private static final long COMPOSITE_BYTES = 128;

    private DecodedHeap() {}

    /** The heap that these values and all values in them use, in bytes; a null uses none. */
    static long bytesOf(Object... values) {
        Deque<Object> remaining = new ArrayDeque<>();
        addAll(remaining, values);
        long bytes = 0;
        while (!remaining.isEmpty()) {
            bytes += bytesWithoutParts(remaining.pop(), remaining);
        }
        return bytes;
    }

    /** The heap of a value itself; adds the values that it contains to {@code parts}. */
    private static long bytesWithoutParts(Object value, Deque<Object> parts) {
        if (value instanceof CharSequence text) {
            return TEXT_BYTES + BYTES_PER_CHAR * text.length();
        }
        if (value instanceof Symbol symbol) {
            return TEXT_BYTES + BYTES_PER_CHAR * symbol.getLength();
        }
        if (value instanceof Binary binary) {
            return BINARY_BYTES + binary.getLength();
        }
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, entryValue) -> addAll(parts, key, entryValue));
            return CONTAINER_BYTES + ENTRY_BYTES * map.size();
        }
        if (value instanceof Iterable<?> elements) {
            return bytesOfElements(elements, parts);
        }
        if (value.getClass().isArray()) {
            return bytesOfArray(value, parts);
        }
        return bytesOfComposite(value, parts);
    }

    private static long bytesOfElements(Iterable<?> elements, Deque<Object> parts) {
        long bytes = CONTAINER_BYTES;
        for (Object element : elements) {
            bytes += ELEMENT_BYTES;
            addAll(parts, element);
        }
        return bytes;
    }

    private static long bytesOfArray(Object array, Deque<Object> parts) {
        if (array instanceof Object[] elements) {
            addAll(parts, elements);
        }
        return CONTAINER_BYTES + ELEMENT_BYTES * Array.getLength(array);
    }

    private static long bytesOfComposite(Object value, Deque<Object> parts) {
        if (value instanceof Source source) {
            addAll(parts, source.getAddress(), source.getDynamicNodeProperties(), source.getFilter());
            addAll(parts, source.getDefaultOutcome(), source.getOutcomes(), source.getCapabilities());
        } else if (value instanceof Target target) {
            addAll(parts, target.getAddress(), target.getDynamicNodeProperties(), target.getCapabilities());
        } else if (value instanceof Rejected rejected) {
            addAll(parts, rejected.getError());
        } else if (value instanceof Modified modified) {
            addAll(parts, modified.getMessageAnnotations());
        } else if (value instanceof ErrorCondition error) {
            addAll(parts, error.getCondition(), error.getDescription(), error.getInfo());
        } else if (value instanceof DescribedType described) {
            addAll(parts, described.getDescriptor(), described.getDescribed());
        } else {
            return OBJECT_BYTES;
        }
        return COMPOSITE_BYTES;
    }

    private static void addAll(Deque<Object> remaining, Object... values) {
        for (Object value : values) {
            if (value != null) {
                remaining.push(value);
            }
        }
    }
}
