package sandstack.configuration;

import java.util.Optional;
import sandstack.configuration.ChangeRefusal.Reason;

/**
 * The state in force at a relay. Moves on only by a validated change that follows directly, or a validated later state
 * of the same history; stores before it puts in force. One thread.
 */
final class InForceConfiguration {
    private static final long LINE_INTERVAL = 10_000_000;

    /** What became of a change or state. */
    enum Result {
        /** It is in force. */
        IN_FORCE,
        /** It, or a later one, was in force already. */
        OLD,
        /** Changes between are missing. */
        GAP,
        /** It is not valid here. */
        REFUSED,
        /** It leads to another state than the control machines say. */
        MISMATCH,
        /** It belongs to another history. */
        DIVERGENT
    }

    private final ChangeValidator validator;
    private final ConfigurationStore store;
    private final FollowerOutput output;
    private final LineLimiter storeLines;
    private ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;
    /** The highest index that was refused; 0 where none was since the last state. */
    private long refusedIndex;

    private Optional<ChangeRefusal> refusal = Optional.empty();

    InForceConfiguration(ChangeValidator validator, ConfigurationStore store, FollowerOutput output) {
        this.validator = validator;
        this.store = store;
        this.output = output;
        this.storeLines = new LineLimiter(output::line, LINE_INTERVAL);
    }

    ConfigurationSnapshot current() {
        return current;
    }

    ConfigurationVersion version() {
        return current.version();
    }

    Optional<ChangeRefusal> refusal() {
        return refusal;
    }

    /** No state with this index or a lower one is worth asking for. */
    long notWanted() {
        return Math.max(refusedIndex, version().index());
    }

    /** Whether a state was refused that is later than the one in force. */
    boolean isStuck() {
        return refusedIndex > version().index();
    }

    /** Takes what was stored, if it is whole and valid. */
    void load() {
        ConfigurationStore.Loaded loaded = store.load();
        if (loaded instanceof ConfigurationStore.Loaded.Unreadable unreadable) {
            output.line(
                    "the stored configuration cannot be read and is fetched anew: " + OneLine.of(unreadable.problem()));
        } else if (loaded instanceof ConfigurationStore.Loaded.Found found) {
            load(found);
        }
    }

    private void load(ConfigurationStore.Loaded.Found found) {
        ConfigurationSnapshot snapshot =
                ConfigurationSnapshot.of(found.version(), found.formatVersion(), found.entries());
        if (!snapshot.digest().equals(found.digest())) {
            output.line(
                    "the stored configuration " + found.version() + " does not match its digest and is fetched anew");
            return;
        }
        Optional<ChangeRefusal> invalid = validator.refuseState(snapshot);
        if (invalid.isPresent()) {
            output.line("the stored configuration " + found.version() + " is not taken: " + invalid.get());
            return;
        }
        current = snapshot;
        output.inForce(snapshot);
    }

    Result apply(AgreedChange agreed, long now) {
        ConfigurationVersion version = agreed.version();
        if (version.contradicts(version())) {
            return Result.DIVERGENT;
        }
        if (version.index() <= version().index()) {
            return Result.OLD;
        }
        if (!agreed.change().basedOn().equals(version())) {
            return version.follows(version()) ? Result.DIVERGENT : Result.GAP;
        }
        Optional<ChangeRefusal> invalid = validator.refuseContent(agreed.change());
        if (invalid.isPresent()) {
            return refuse(version, invalid.get());
        }
        ConfigurationSnapshot next = current.apply(version, agreed.change());
        if (!next.digest().equals(agreed.digest())) {
            return Result.MISMATCH;
        }
        invalid = validator.refuseState(next);
        if (invalid.isPresent()) {
            return refuse(version, invalid.get());
        }
        store(() -> store.apply(agreed, next), now);
        putInForce(next);
        return Result.IN_FORCE;
    }

    Result replace(ConfigurationSnapshot snapshot, long now) {
        ConfigurationVersion version = snapshot.version();
        if (version.contradicts(version())) {
            return Result.DIVERGENT;
        }
        if (version.index() <= version().index()) {
            return Result.OLD;
        }
        Optional<ChangeRefusal> invalid = validator.refuseState(snapshot);
        if (invalid.isPresent()) {
            return refuse(version, invalid.get());
        }
        store(() -> store.replace(snapshot), now);
        putInForce(snapshot);
        return Result.IN_FORCE;
    }

    /** A later state was refused: the one in force stays. */
    Result refuse(ConfigurationVersion version, ChangeRefusal why) {
        refusedIndex = Math.max(refusedIndex, version.index());
        refusal = Optional.of(why);
        output.line("configuration " + version + " is not taken, " + version() + " stays in force: " + why);
        return Result.REFUSED;
    }

    /** Why a format cannot be read here. */
    Optional<ChangeRefusal> refuseFormat(int formatVersion) {
        return validator.refuseFormat(formatVersion);
    }

    /** Why an encoded state of this size is not fetched. */
    Optional<ChangeRefusal> refuseSize(int bytes, int most) {
        return bytes <= most
                ? Optional.empty()
                : Optional.of(new ChangeRefusal(
                        Reason.CONFIGURATION_TOO_LARGE, bytes + " bytes in a snapshot, the most is " + most));
    }

    private void putInForce(ConfigurationSnapshot next) {
        current = next;
        refusedIndex = 0;
        refusal = Optional.empty();
        output.inForce(next);
    }

    /** Something that the store is to keep. */
    private interface StoreStep {
        void run() throws ConfigurationStoreException;
    }

    /** A relay whose disk fails goes on with what was agreed, and catches up after its next start. */
    private void store(StoreStep step, long now) {
        try {
            step.run();
        } catch (ConfigurationStoreException e) {
            storeLines.line(
                    "the configuration could not be stored: " + OneLine.of(String.valueOf(e.getMessage())), now);
        }
    }
}
