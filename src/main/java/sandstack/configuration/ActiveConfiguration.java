package sandstack.configuration;

import java.util.Optional;
import sandstack.configuration.ChangeRejection.Reason;

/**
 * The configuration that is active at a relay. It is replaced only by a valid change that directly follows it, or by a
 * valid later snapshot of the same history. The new state is stored before it is activated. If the store fails, the
 * state is activated nevertheless, and after a restart the relay starts from the last version that was stored. Not
 * thread-safe; times are in microseconds of the follower's clock.
 */
final class ActiveConfiguration {
    /** The result of applying a change or a snapshot that was received from a control machine. */
    enum ActivationResult {
        /** The change or snapshot is active now. */
        ACTIVATED,
        /** The active version is the same or a later one; nothing changed. */
        STALE,
        /** Changes between the active version and the received one are missing. */
        GAP,
        /** The validator of this relay rejected the received state; the active one stays. */
        REJECTED,
        /** The state after the change has a different digest than the control machines computed. */
        DIGEST_MISMATCH,
        /**
         * The received version, or the base version of the received change, is in another history than the active one.
         */
        DIVERGENT
    }

    private final ChangeValidator validator;
    private final ConfigurationStore store;
    private final FollowerOutput output;
    private final RateLimitedLog storeFailureLog;
    private ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;
    /** The highest index that was rejected since the last activation; 0 if none was. */
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

    /** The highest index that is active or was rejected; only states with a higher index need to be fetched. */
    long highestHandledIndex() {
        return Math.max(rejectedIndex, version().index());
    }

    /** Whether a version later than the active one was rejected. */
    boolean hasRejectedLaterVersion() {
        return rejectedIndex > version().index();
    }

    /**
     * Activates the stored configuration if it is readable, matches its digest and is valid. Called once, before any
     * other method.
     */
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

    /** Validates, stores and activates a change that directly follows the active version. */
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

    /** Validates, stores and activates a later snapshot of the same history. */
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

    /** Records and logs that a later version was rejected; the active configuration stays. */
    ActivationResult reject(ConfigurationVersion version, ChangeRejection changeRejection) {
        rejectedIndex = Math.max(rejectedIndex, version.index());
        rejection = Optional.of(changeRejection);
        logRejection("configuration rejected version=" + version + " activeVersion=" + version(), changeRejection);
        return ActivationResult.REJECTED;
    }

    private void logRejection(String message, ChangeRejection changeRejection) {
        output.log(message + " reason=" + changeRejection.reason() + " detail=" + changeRejection.detail());
    }

    /** Why this relay cannot read a format version; empty if it can. */
    Optional<ChangeRejection> validateFormat(int formatVersion) {
        return validator.validateFormat(formatVersion);
    }

    /** Why an encoded snapshot of this size is not fetched; empty if it is within the bound. */
    Optional<ChangeRejection> validateEncodedSize(int bytes, int maxBytes) {
        return bytes <= maxBytes
                ? Optional.empty()
                : Optional.of(new ChangeRejection(
                        Reason.CONFIGURATION_TOO_LARGE, bytes + " bytes in a snapshot, the maximum is " + maxBytes));
    }

    private void activate(ConfigurationSnapshot next) {
        current = next;
        rejectedIndex = 0;
        rejection = Optional.empty();
        output.activated(next);
    }

    /** A write to the store, which may fail. */
    private interface StoreOperation {
        void run() throws ConfigurationStoreException;
    }

    /**
     * Runs a write to the store and only logs its failure: a relay whose disk fails continues with the committed state
     * and catches up after its next start.
     */
    private void store(StoreOperation operation, long nowMicros) {
        try {
            operation.run();
        } catch (ConfigurationStoreException e) {
            storeFailureLog.log(
                    "configuration could not be stored problem=" + LogText.singleLine(String.valueOf(e.getMessage())),
                    nowMicros);
        }
    }
}
