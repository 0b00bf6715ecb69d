package sandstack.configuration;

import java.util.Optional;
import sandstack.configuration.ChangeRejection.Reason;

/**
 * The configuration that is active at a relay. It is replaced only by a validated change that directly follows it, or
 * by a validated later snapshot of the same history. Each is stored before it is activated; where the store fails, it
 * is activated all the same, and after a restart the relay begins with the version stored last. Not thread-safe.
 */
final class ActiveConfiguration {
    /** What became of a change or a snapshot. */
    enum ActivationResult {
        /** It is active. */
        ACTIVATED,
        /** It, or a later version, was active already. */
        STALE,
        /** Changes between the active version and this one are missing. */
        GAP,
        /** It is not valid at this relay. */
        REJECTED,
        /** It leads to another state than the control machines report. */
        DIGEST_MISMATCH,
        /** It belongs to another history. */
        DIVERGENT
    }

    private final ChangeValidator validator;
    private final ConfigurationStore store;
    private final FollowerOutput output;
    private final RateLimitedLog storeFailureLog;
    private ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;
    /** The highest index that was rejected since the last activation; 0 where none was. */
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

    /** The highest index that is active or was rejected: only later states are worth fetching. */
    long highestHandledIndex() {
        return Math.max(rejectedIndex, version().index());
    }

    /** Whether a state later than the active one was rejected. */
    boolean hasRejectedLaterVersion() {
        return rejectedIndex > version().index();
    }

    /** Activates what was stored, if it is complete and valid. Called once, before anything else. */
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

    /** Stores and activates a change that directly follows the active version. */
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

    /** Stores and activates a later snapshot of the same history. */
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

    /** A later state is not valid here: the active one stays. */
    ActivationResult reject(ConfigurationVersion version, ChangeRejection why) {
        rejectedIndex = Math.max(rejectedIndex, version.index());
        rejection = Optional.of(why);
        logRejection("configuration rejected version=" + version + " activeVersion=" + version(), why);
        return ActivationResult.REJECTED;
    }

    private void logRejection(String message, ChangeRejection why) {
        output.log(message + " reason=" + why.reason() + " detail=" + why.detail());
    }

    /** Why this relay cannot read a format. */
    Optional<ChangeRejection> validateFormat(int formatVersion) {
        return validator.validateFormat(formatVersion);
    }

    /** Why an encoded snapshot of this size is not fetched. */
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

    /** An operation of the store. */
    private interface StoreStep {
        void run() throws ConfigurationStoreException;
    }

    /** A relay whose disk fails goes on with the committed state, and catches up after its next start. */
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
