package sandstack.measure.scale.hollow;

import java.util.EnumMap;
import java.util.Map;

/** Counts what all members of a fleet send. One thread; O(1) a message. */
final class Traffic {
    /** What was sent of one kind. */
    private static final class Count {
        private long messages;
        private long bytes;
    }

    private final Map<MessageKind, Count> counts = new EnumMap<>(MessageKind.class);

    /** So many messages of this size were sent. */
    void record(MessageKind kind, long messages, long bytesPerMessage) {
        Count count = counts.computeIfAbsent(kind, k -> new Count());
        count.messages += messages;
        count.bytes += messages * bytesPerMessage;
    }

    long messages(MessageKind kind) {
        return counts.containsKey(kind) ? counts.get(kind).messages : 0;
    }

    long bytes(MessageKind kind) {
        return counts.containsKey(kind) ? counts.get(kind).bytes : 0;
    }

    long messages() {
        return counts.values().stream().mapToLong(count -> count.messages).sum();
    }

    long bytes() {
        return counts.values().stream().mapToLong(count -> count.bytes).sum();
    }

    void clear() {
        counts.clear();
    }
}
