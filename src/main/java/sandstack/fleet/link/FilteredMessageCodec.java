package sandstack.fleet.link;

import io.scalecube.cluster.transport.api.Message;
import io.scalecube.cluster.transport.api.MessageCodec;
import java.io.IOException;
import java.io.InputStream;
import java.io.InvalidClassException;
import java.io.ObjectInputFilter;
import java.io.ObjectInputStream;
import java.io.ObjectOutputStream;
import java.io.OutputStream;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The library's default serialization with a filter on deserialization: allows only the library's own types,
 * collections and plain values, and bounds the nesting depth, the number of objects and the length of arrays. Other
 * types are rejected before an instance is created. Thread-safe. A message costs O(bytes).
 */
final class FilteredMessageCodec implements MessageCodec {
    private static final int MAX_DEPTH = 12;
    private static final int MAX_OBJECTS = 20_000;
    private static final int MAX_ARRAY_LENGTH = 20_000;
    private static final Set<String> ALLOWED_JDK_TYPES = Set.of(
            "java.lang.Boolean",
            "java.lang.Enum",
            "java.lang.Integer",
            "java.lang.Long",
            "java.lang.Number",
            "java.lang.Object",
            "java.lang.String",
            "java.util.ArrayList",
            "java.util.CollSer",
            "java.util.HashMap",
            "java.util.HashSet",
            "java.util.LinkedHashMap",
            "java.util.Map$Entry");

    private final AtomicLong rejectedCount = new AtomicLong();
    private final ThreadLocal<Boolean> lastRejected = ThreadLocal.withInitial(() -> false);

    /** Number of messages rejected so far. */
    long rejectedCount() {
        return rejectedCount.get();
    }

    /** Whether the last message that the calling thread read was rejected; resets this flag. */
    boolean pollLastRejected() {
        boolean rejected = lastRejected.get();
        lastRejected.set(false);
        return rejected;
    }

    private static ObjectInputFilter.Status filter(ObjectInputFilter.FilterInfo info) {
        if (info.depth() > MAX_DEPTH || info.references() > MAX_OBJECTS || info.arrayLength() > MAX_ARRAY_LENGTH) {
            return ObjectInputFilter.Status.REJECTED;
        }
        Class<?> type = info.serialClass();
        while (type != null && type.isArray()) {
            type = type.getComponentType();
        }
        if (type == null || type.isPrimitive()) {
            return ObjectInputFilter.Status.UNDECIDED;
        }
        return isAllowed(type.getName()) ? ObjectInputFilter.Status.ALLOWED : ObjectInputFilter.Status.REJECTED;
    }

    private static boolean isAllowed(String typeName) {
        return typeName.startsWith("io.scalecube.cluster.")
                || typeName.startsWith("java.util.Collections$Unmodifiable")
                || ALLOWED_JDK_TYPES.contains(typeName);
    }

    @Override
    public Message deserialize(InputStream in) throws Exception {
        try (ObjectInputStream objects = new ObjectInputStream(in)) {
            objects.setObjectInputFilter(FilteredMessageCodec::filter);
            Message message = new Message();
            message.readExternal(objects);
            return message;
        } catch (IOException | ClassNotFoundException | RuntimeException e) {
            rejectedCount.incrementAndGet();
            lastRejected.set(true);
            throw e instanceof InvalidClassException
                    ? new IOException("message contains a type that is not allowed or exceeds a limit")
                    : e;
        }
    }

    @Override
    public void serialize(Message message, OutputStream out) throws Exception {
        try (ObjectOutputStream objects = new ObjectOutputStream(out)) {
            message.writeExternal(objects);
        }
    }
}
