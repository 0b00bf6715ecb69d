package sandstack.configuration;

import java.util.Optional;
import sandstack.configuration.ChangeRejection.Reason;

/**
 * The state in force at a relay. Moves on only by a validated change that follows directly, or a validated later state
 * of the same history; stores before it puts in force. One thread.
 */
final class ActiveConfiguration {
    /** What became of a change or state. */
    enum ActivationResult {
        /** It is in force. */
        ACTIVATED,
        /** It, or a later one, was in force already. */
        STALE,
        /** Changes between are missing. */
        GAP,
        /** It is not valid here. */
        REJECTED,
        /** It leads to another state than the control machines say. */
        DIGEST_MISMATCH,
        /** It belongs to another history. */
        DIVERGENT
    }

    private final ChangeValidator validator;
    private final ConfigurationStore store;
    private final FollowerOutput output;
    private final RateLimitedLog storeFailureLog;
    private ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;
    /** The highest index that was refused; 0 where none was since the last state. */
    private long rejectedIndex;

    private Optional<ChangeRejection> rejection = Optional.empty();

    ActiveConfiguration(ChangeValidator validator, ConfigurationStore store, FollowerOutput output) {
        this.validator = validator;
        this.store = store;
        this.output = output;
        this.storeFailureLog = new RateLimitedLog(output::log);
    }

    ConfigurationSnapshot current() {
        return current;
    }

    ConfigurationVersion version() {
        return current.version();
    }

    Optional<ChangeRejection> rejection() {
        return rejection;
    }

    /** No state with this index or a lower one is worth asking for. */
    long highestHandledIndex() {
        return Math.max(rejectedIndex, version().index());
    }

    /** Whether a state was refused that is later than the one in force. */
    boolean hasRejectedLaterVersion() {
        return rejectedIndex > version().index();
    }

    /** Takes what was stored, if it is whole and valid. */
    void load() {
        ConfigurationStore.Loaded loaded = store.load();
        if (loaded instanceof ConfigurationStore.Loaded.Unreadable unreadable) {
            output.log("stored configuration cannot be read and is fetched again problem="
                    + LogText.singleLine(unreadable.problem()));
        } else if (loaded instanceof ConfigurationStore.Loaded.Found found) {
            load(found);
        }
    }

    private void load(ConfigurationStore.Loaded.Found found) {
        ConfigurationSnapshot snapshot =
                ConfigurationSnapshot.of(found.version(), found.formatVersion(), found.entries());
        if (!snapshot.digest().equals(found.digest())) {
            output.log(
                    "stored configuration does not match its digest and is fetched again version=" + found.version());
            return;
        }
        Optional<ChangeRejection> invalid = validator.validateSnapshot(snapshot);
        if (invalid.isPresent()) {
            logRejection("stored configuration rejected version=" + found.version(), invalid.get());
            return;
        }
        current = snapshot;
        output.activated(snapshot);
    }

    ActivationResult apply(CommittedChange committed, long nowMicros) {
        ConfigurationVersion version = committed.version();
        if (version.divergesFrom(version())) {
            return ActivationResult.DIVERGENT;
        }
        if (version.index() <= version().index()) {
            return ActivationResult.STALE;
        }
        if (!committed.change().baseVersion().equals(version())) {
            return version.follows(version()) ? ActivationResult.DIVERGENT : ActivationResult.GAP;
        }
        Optional<ChangeRejection> invalid = validator.validateContent(committed.change());
        if (invalid.isPresent()) {
            return reject(version, invalid.get());
        }
        ConfigurationSnapshot next = current.apply(version, committed.change());
        if (!next.digest().equals(committed.digest())) {
            return ActivationResult.DIGEST_MISMATCH;
        }
        invalid = validator.validateSnapshot(next);
        if (invalid.isPresent()) {
            return reject(version, invalid.get());
        }
        store(() -> store.apply(committed, next), nowMicros);
        activate(next);
        return ActivationResult.ACTIVATED;
    }

    ActivationResult replace(ConfigurationSnapshot snapshot, long nowMicros) {
        ConfigurationVersion version = snapshot.version();
        if (version.divergesFrom(version())) {
            return ActivationResult.DIVERGENT;
        }
        if (version.index() <= version().index()) {
            return ActivationResult.STALE;
        }
        Optional<ChangeRejection> invalid = validator.validateSnapshot(snapshot);
        if (invalid.isPresent()) {
            return reject(version, invalid.get());
        }
        store(() -> store.replace(snapshot), nowMicros);
        activate(snapshot);
        return ActivationResult.ACTIVATED;
    }

    /** A later state was refused: the one in force stays. */
    ActivationResult reject(ConfigurationVersion version, ChangeRejection why) {
        rejectedIndex = Math.max(rejectedIndex, version.index());
        rejection = Optional.of(why);
        logRejection("configuration rejected version=" + version + " activeVersion=" + version(), why);
        return ActivationResult.REJECTED;
    }

    private void logRejection(String message, ChangeRejection why) {
        output.log(message + " reason=" + why.reason() + " detail=" + why.detail());
    }

    /** Why a format cannot be read here. */
    Optional<ChangeRejection> validateFormat(int formatVersion) {
        return validator.validateFormat(formatVersion);
    }

    /** Why an encoded state of this size is not fetched. */
    Optional<ChangeRejection> validateEncodedSize(int bytes, int maxBytes) {
        return bytes <= maxBytes
                ? Optional.empty()
                : Optional.of(new ChangeRejection(
                        Reason.CONFIGURATION_TOO_LARGE, bytes + " bytes in a snapshot, the most is " + maxBytes));
    }

    private void activate(ConfigurationSnapshot next) {
        current = next;
        rejectedIndex = 0;
        rejection = Optional.empty();
        output.activated(next);
    }

    /** Something that the store is to keep. */
    private interface StoreStep {
        void run() throws ConfigurationStoreException;
    }

    /** A relay whose disk fails goes on with what was agreed, and catches up after its next start. */
    private void store(StoreStep step, long nowMicros) {
        try {
            step.run();
        } catch (ConfigurationStoreException e) {
            storeFailureLog.log(
                    "configuration could not be stored problem=" + LogText.singleLine(String.valueOf(e.getMessage())),
                    nowMicros);
        }
    }
}
