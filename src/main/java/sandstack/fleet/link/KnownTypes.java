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
final class KnownTypes implements MessageCodec {
    private static final int DEEPEST = 12;
    private static final int MOST_OBJECTS = 20_000;
    private static final int LONGEST_ARRAY = 20_000;

    private final AtomicLong refused = new AtomicLong();
    private final ThreadLocal<Boolean> lastRefused = ThreadLocal.withInitial(() -> false);

    /** Messages refused so far. */
    long refused() {
        return refused.get();
    }

    /** Whether the last message that this thread read was refused; asked once, and forgotten. */
    boolean takeRefused() {
        boolean was = lastRefused.get();
        lastRefused.set(false);
        return was;
    }

    private static ObjectInputFilter.Status check(ObjectInputFilter.FilterInfo info) {
        if (info.depth() > DEEPEST || info.references() > MOST_OBJECTS || info.arrayLength() > LONGEST_ARRAY) {
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
        boolean known = name.startsWith("io.scalecube.cluster.")
                || name.startsWith("java.lang.") && plain(name)
                || name.equals("java.util.ArrayList")
                || name.equals("java.util.HashMap")
                || name.equals("java.util.LinkedHashMap")
                || name.equals("java.util.Map$Entry")
                || name.equals("java.util.HashSet")
                || name.equals("java.util.CollSer")
                || name.startsWith("java.util.Collections$Unmodifiable");
        return known ? ObjectInputFilter.Status.ALLOWED : ObjectInputFilter.Status.REJECTED;
    }

    private static boolean plain(String name) {
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
            objects.setObjectInputFilter(KnownTypes::check);
            Message message = new Message();
            message.readExternal(objects);
            return message;
        } catch (IOException | ClassNotFoundException | RuntimeException e) {
            refused.incrementAndGet();
            lastRefused.set(true);
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
