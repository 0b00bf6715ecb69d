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
import java.util.concurrent.atomic.AtomicLong;

/**
 * The library's messages on the wire, as it writes them itself, but read under a filter: its own types, collections and
 * plain values, none deep, many or large. Whatever else comes is refused before an object of it is made. Any thread;
 * O(bytes) a message.
 */
final class FilteredMessageCodec implements MessageCodec {
    private static final int MAX_DEPTH = 12;
    private static final int MAX_OBJECTS = 20_000;
    private static final int MAX_ARRAY_LENGTH = 20_000;

    private final AtomicLong rejectedCount = new AtomicLong();
    private final ThreadLocal<Boolean> lastRejected = ThreadLocal.withInitial(() -> false);

    /** Messages refused so far. */
    long rejectedCount() {
        return rejectedCount.get();
    }

    /** Whether the last message that this thread read was refused; asked once, and forgotten. */
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
        String name = type.getName();
        boolean allowed = name.startsWith("io.scalecube.cluster.")
                || name.startsWith("java.lang.") && isPlainValue(name)
                || name.equals("java.util.ArrayList")
                || name.equals("java.util.HashMap")
                || name.equals("java.util.LinkedHashMap")
                || name.equals("java.util.Map$Entry")
                || name.equals("java.util.HashSet")
                || name.equals("java.util.CollSer")
                || name.startsWith("java.util.Collections$Unmodifiable");
        return allowed ? ObjectInputFilter.Status.ALLOWED : ObjectInputFilter.Status.REJECTED;
    }

    private static boolean isPlainValue(String name) {
        return switch (name) {
            case "java.lang.String",
                    "java.lang.Number",
                    "java.lang.Integer",
                    "java.lang.Long",
                    "java.lang.Boolean",
                    "java.lang.Enum",
                    "java.lang.Object" -> true;
            default -> false;
        };
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
            throw e instanceof InvalidClassException ? new IOException("a message of unknown types") : e;
        }
    }

    @Override
    public void serialize(Message message, OutputStream out) throws Exception {
        try (ObjectOutputStream objects = new ObjectOutputStream(out)) {
            message.writeExternal(objects);
        }
    }
}
