package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** The latest agreed changes, bounded by number and bytes, without a gap. One thread. */
final class RecentChanges {
    /** A change with the size of its encoded form. */
    private record Kept(AgreedChange change, int bytes) {}

    private final ConfigurationCodec codec;
    private final int mostChanges;
    private final long mostBytes;
    private final TreeMap<Long, Kept> byIndex = new TreeMap<>();
    private long bytes;

    RecentChanges(ConfigurationCodec codec, int mostChanges, long mostBytes) {
        this.codec = codec;
        this.mostChanges = mostChanges;
        this.mostBytes = mostBytes;
    }

    /** The next change; forgets the oldest where there are too many. */
    void add(AgreedChange change) {
        if (!byIndex.isEmpty()
                && !change.change()
                        .basedOn()
                        .equals(byIndex.lastEntry().getValue().change().version())) {
            clear();
        }
        Kept kept = new Kept(change, codec.encode(change).length);
        byIndex.put(change.version().index(), kept);
        bytes += kept.bytes;
        while (byIndex.size() > mostChanges || bytes > mostBytes) {
            bytes -= byIndex.pollFirstEntry().getValue().bytes;
        }
    }

    void clear() {
        byIndex.clear();
        bytes = 0;
    }

    /** Whether all changes after a version are here. */
    boolean goesOnFrom(ConfigurationVersion version) {
        Kept next = byIndex.get(version.index() + 1);
        return next != null && next.change().change().basedOn().equals(version);
    }

    /** The changes after a version, at least one and no more than so many bytes; empty where they are not here. */
    Optional<List<AgreedChange>> after(ConfigurationVersion version, int most, int atMostBytes) {
        if (!goesOnFrom(version)) {
            return Optional.empty();
        }
        List<AgreedChange> changes = new ArrayList<>();
        long taken = 0;
        for (Kept kept : byIndex.tailMap(version.index(), false).values()) {
            taken += kept.bytes;
            if (!changes.isEmpty() && (taken > atMostBytes || changes.size() >= most)) {
                break;
            }
            changes.add(kept.change());
        }
        return Optional.of(changes);
    }

    int size() {
        return byIndex.size();
    }
}
