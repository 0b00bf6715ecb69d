package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** The latest committed changes without a gap, bounded by number and encoded bytes. Not thread-safe. */
final class RecentChanges {
    /** A change with the size of its encoded form. */
    private record Entry(CommittedChange change, int bytes) {}

    private final ConfigurationCodec codec;
    private final int maxChanges;
    private final long maxBytes;
    private final TreeMap<Long, Entry> byIndex = new TreeMap<>();
    private long bytes;

    RecentChanges(ConfigurationCodec codec, int maxChanges, long maxBytes) {
        this.codec = codec;
        this.maxChanges = maxChanges;
        this.maxBytes = maxBytes;
    }

    /** Adds the next change and drops the oldest ones beyond the bounds; one that does not follow starts anew. */
    void add(CommittedChange change) {
        if (!byIndex.isEmpty()
                && !change.change()
                        .baseVersion()
                        .equals(byIndex.lastEntry().getValue().change().version())) {
            clear();
        }
        Entry entry = new Entry(change, codec.encode(change).length);
        byIndex.put(change.version().index(), entry);
        bytes += entry.bytes;
        while (byIndex.size() > maxChanges || bytes > maxBytes) {
            bytes -= byIndex.pollFirstEntry().getValue().bytes;
        }
    }

    void clear() {
        byIndex.clear();
        bytes = 0;
    }

    /** Whether the change directly after a version is here, and so all later ones. */
    boolean continuesFrom(ConfigurationVersion version) {
        Entry next = byIndex.get(version.index() + 1);
        return next != null && next.change().change().baseVersion().equals(version);
    }

    /**
     * The changes after a version, at least one and within both bounds beyond the first; empty where they are not here.
     */
    Optional<List<CommittedChange>> changesAfter(ConfigurationVersion version, int maxCount, int maxBatchBytes) {
        if (!continuesFrom(version)) {
            return Optional.empty();
        }
        List<CommittedChange> changes = new ArrayList<>();
        long batchBytes = 0;
        for (Entry entry : byIndex.tailMap(version.index(), false).values()) {
            batchBytes += entry.bytes;
            if (!changes.isEmpty() && (batchBytes > maxBatchBytes || changes.size() >= maxCount)) {
                break;
            }
            changes.add(entry.change());
        }
        return Optional.of(changes);
    }
}
