package sandstack.measure.scale.hollow;

import java.util.EnumMap;
import java.util.Map;

/** Counts messages and bytes sent by all members of a fleet. Not thread-safe. */
final class FleetTraffic {
    /** Counters of one kind of message. */
    private static final class Count {
        private long messages;
        private long bytes;
    }

    private final Map<MessageKind, Count> counts = new EnumMap<>(MessageKind.class);

    /** Counts sent messages of one size. */
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
