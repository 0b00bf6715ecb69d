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
 * Reads the configuration again on SIGHUP, and applies the complete settings and the address of discovery in one turn
 * of the event loop. A configuration that cannot be used changes nothing. Safe for use from any thread.
 */
final class ConfigurationReloader {
    private static final Logger LOG = Logger.getLogger("sandstack.service");

    private final PlatformConfig initialConfig;
    private final Map<String, String> environment;
    private final EventLoop loop;
    private final Relay relay;
    private final DiscoveryWatch watch;
    /** What the last reload led to; the relay has the same, on its own thread. */
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

    /** The settings of the start, or of the last reload that was applied. */
    EffectiveSettings effectiveSettings() {
        return effectiveSettings;
    }

    /** One at a time, so that of several reloads the one that read last is also applied last. */
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
