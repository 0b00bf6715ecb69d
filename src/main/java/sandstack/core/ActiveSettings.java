package sandstack.core;

import sandstack.decisions.BalancerSettings;

/** Holds the settings in force; a reload replaces all of them in one step. Used on the event loop's thread only. */
final class ActiveSettings {
    /**
     * Stands for no timeout: no deadline this far in the future expires, and adding it to a clock reading cannot
     * overflow.
     */
    private static final long NO_TIMEOUT_MICROS = Long.MAX_VALUE / 4;

    private EffectiveSettings current;

    ActiveSettings(EffectiveSettings initial) {
        current = initial;
    }

    void replace(EffectiveSettings next) {
        current = next;
    }

    EffectiveSettings effectiveSettings() {
        return current;
    }

    BalancerSettings balancerSettings() {
        return current.settings();
    }

    String className(ClientRequest request) {
        return current.classNames().get(request.classIndex());
    }

    int maxAttempts() {
        return current.settings().maxAttempts();
    }

    long longestDeadlineMicros() {
        return current.settings().longestDeadlineMicros();
    }

    long connectTimeoutMicros() {
        long timeoutMicros = current.settings().connectTimeoutMicros();
        return timeoutMicros > 0 ? timeoutMicros : NO_TIMEOUT_MICROS;
    }
}
