package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** The latest committed changes without gaps, bounded by their number and encoded size. Not thread-safe. */
final class RecentChanges {
    /** A change with its encoded size in bytes. */
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

    /**
     * Adds the next change and drops the oldest ones beyond the bounds. A change that does not directly follow the last
     * one replaces all.
     */
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

    /** Whether the change directly after a version is kept, which implies that all later ones are. */
    boolean continuesFrom(ConfigurationVersion version) {
        Entry next = byIndex.get(version.index() + 1);
        return next != null && next.change().change().baseVersion().equals(version);
    }

    /**
     * The changes that directly follow a version, within both bounds; the first is included even if it exceeds them.
     *
     * @return at least one change; empty if the change directly after the version is not kept
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
