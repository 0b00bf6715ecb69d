package sandstack.service;

import java.util.Map;
import java.util.logging.Logger;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.PlatformConfig;
import sandstack.core.EffectiveSettings;
import sandstack.core.Relay;
import sandstack.discovery.DiscoveryWatch;
import sandstack.net.EventLoop;

/**
 * Reloads the configuration on SIGHUP, and applies all settings and discovery's address in one turn of the event loop.
 * An invalid configuration changes nothing. Thread-safe.
 */
final class ConfigurationReloader {
    private static final Logger LOG = Logger.getLogger("sandstack.service");

    private final PlatformConfig initialConfig;
    private final Map<String, String> environment;
    private final EventLoop loop;
    private final Relay relay;
    private final DiscoveryWatch watch;
    /** The settings of the last successful reload, which the relay applies on the event loop's thread. */
    private volatile EffectiveSettings effectiveSettings;

    ConfigurationReloader(
            PlatformConfig initialConfig,
            Map<String, String> environment,
            EventLoop loop,
            Relay relay,
            DiscoveryWatch watch) {
        this.initialConfig = initialConfig;
        this.environment = environment;
        this.loop = loop;
        this.relay = relay;
        this.watch = watch;
        this.effectiveSettings = initialConfig.effectiveSettings();
    }

    /** The settings from the start, or from the last successful reload. */
    EffectiveSettings effectiveSettings() {
        return effectiveSettings;
    }

    /**
     * Reads and applies the configuration. Synchronized, so that concurrent reloads are applied in the order in which
     * they read the file.
     */
    synchronized void reload() {
        try {
            PlatformConfig next = initialConfig.reload(environment);
            EffectiveSettings merged = effectiveSettings.mergedWith(next.effectiveSettings());
            effectiveSettings = merged;
            loop.execute(() -> {
                relay.applySettings(merged);
                watch.switchTo(next.discovery());
            });
            LOG.info("configuration reloaded discovery=" + next.discovery() + " classes="
                    + String.join(",", next.effectiveSettings().classNames()));
            for (String difference : initialConfig.changesThatNeedRestart(next)) {
                LOG.info("configuration change needs restart change=\"" + difference + "\"");
            }
        } catch (InvalidConfigurationException | IllegalArgumentException e) {
            loop.execute(relay::onSettingsRejected);
            LOG.warning("configuration rejected reason=\"" + e.getMessage() + "\"");
        }
    }
}
