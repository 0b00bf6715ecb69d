package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.List;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.ConfigurationDigest;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationStore;
import sandstack.configuration.ConfigurationStoreException;

/**
 * A relay's simulated disk, whose content survives a kill of the process and can be wiped, rolled back or corrupted.
 * Not thread-safe.
 */
public final class InMemoryConfigurationStore implements ConfigurationStore {
    private static final int MAX_SNAPSHOTS = 8;

    private final List<ConfigurationSnapshot> snapshots = new ArrayList<>();
    private boolean corrupted;
    private boolean unreadable;
    private boolean full;
    private boolean keepsHistory;

    /** Retains some older snapshots for {@link #rollBack}. */
    public void keepHistory() {
        keepsHistory = true;
    }

    /** Deletes all snapshots and ends other faults, except a full disk. */
    public void wipe() {
        snapshots.clear();
        corrupted = false;
        unreadable = false;
    }

    /** Removes the latest {@code steps} snapshots, except the oldest one that is retained. */
    public void rollBack(int steps) {
        for (int i = 0; i < steps && snapshots.size() > 1; i++) {
            snapshots.remove(snapshots.size() - 1);
        }
    }

    /** Makes the stored digest differ from that of the entries, until the next successful write. */
    public void corrupt() {
        corrupted = true;
    }

    /** Makes loading fail, until the next successful write. */
    public void makeUnreadable() {
        unreadable = true;
    }

    /** Makes writes fail for lack of space, or succeed again. */
    public void setFull(boolean isFull) {
        full = isFull;
    }

    @Override
    public Loaded load() {
        if (unreadable) {
            return new Loaded.Unreadable("a simulated fault of the disk");
        }
        if (snapshots.isEmpty()) {
            return new Loaded.Absent();
        }
        ConfigurationSnapshot last = snapshots.get(snapshots.size() - 1);
        ConfigurationDigest digest = corrupted ? last.digest().with("damaged", "") : last.digest();
        return new Loaded.Found(last.version(), last.formatVersion(), last.entries(), digest);
    }

    @Override
    public void apply(CommittedChange change, ConfigurationSnapshot after) throws ConfigurationStoreException {
        replace(after);
    }

    @Override
    public void replace(ConfigurationSnapshot snapshot) throws ConfigurationStoreException {
        if (full) {
            throw new ConfigurationStoreException("no space left on the simulated disk", null);
        }
        corrupted = false;
        unreadable = false;
        snapshots.add(snapshot);
        if (snapshots.size() > (keepsHistory ? MAX_SNAPSHOTS : 1)) {
            snapshots.remove(0);
        }
    }
}
