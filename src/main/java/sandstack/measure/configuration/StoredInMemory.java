package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.List;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.ConfigurationDigest;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationStore;
import sandstack.configuration.ConfigurationStoreException;

/** A relay's disk: outlives its process, may be wiped, replaced by an older state or damaged. One thread. */
public final class StoredInMemory implements ConfigurationStore {
    private static final int MOST_OLDER = 8;

    private final List<ConfigurationSnapshot> states = new ArrayList<>();
    private boolean damaged;
    private boolean unreadable;
    private boolean full;
    private boolean keepsOlder;

    /** Keeps a few older states, to be started from. */
    public void keepOlder() {
        keepsOlder = true;
    }

    /** Nothing is there any more. */
    public void wipe() {
        states.clear();
        damaged = false;
        unreadable = false;
    }

    /** An older state is there in place of the latest, where one is kept. */
    public void goBack(int steps) {
        for (int i = 0; i < steps && states.size() > 1; i++) {
            states.remove(states.size() - 1);
        }
    }

    /** The entries no longer match their digest. */
    public void damage() {
        damaged = true;
    }

    /** Nothing of it can be read. */
    public void makeUnreadable() {
        unreadable = true;
    }

    /** Takes nothing more, or does again. */
    public void full(boolean now) {
        full = now;
    }

    @Override
    public Loaded load() {
        if (unreadable) {
            return new Loaded.Unreadable("a simulated fault of the disk");
        }
        if (states.isEmpty()) {
            return new Loaded.Absent();
        }
        ConfigurationSnapshot last = states.get(states.size() - 1);
        ConfigurationDigest digest = damaged ? last.digest().with("damaged", "") : last.digest();
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
        damaged = false;
        unreadable = false;
        states.add(snapshot);
        if (states.size() > (keepsOlder ? MOST_OLDER : 1)) {
            states.remove(0);
        }
    }
}
