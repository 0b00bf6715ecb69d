package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.List;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.ConfigurationDigest;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationStore;
import sandstack.configuration.ConfigurationStoreException;

/** A relay's disk: outlives its process, may be wiped, replaced by an older state or damaged. One thread. */
public final class InMemoryConfigurationStore implements ConfigurationStore {
    private static final int MAX_SNAPSHOTS = 8;

    private final List<ConfigurationSnapshot> snapshots = new ArrayList<>();
    private boolean corrupted;
    private boolean unreadable;
    private boolean full;
    private boolean keepsHistory;

    /** Keeps a few older states, to be started from. */
    public void keepHistory() {
        keepsHistory = true;
    }

    /** Nothing is there any more. */
    public void wipe() {
        snapshots.clear();
        corrupted = false;
        unreadable = false;
    }

    /** An older state is there in place of the latest, where one is kept. */
    public void rollBack(int steps) {
        for (int i = 0; i < steps && snapshots.size() > 1; i++) {
            snapshots.remove(snapshots.size() - 1);
        }
    }

    /** The entries no longer match their digest. */
    public void corrupt() {
        corrupted = true;
    }

    /** Nothing of it can be read. */
    public void makeUnreadable() {
        unreadable = true;
    }

    /** Takes nothing more, or does again. */
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
