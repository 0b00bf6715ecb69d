/**
 * Reads and validates the configuration: the platform's JSON and the relay's own TOML files under {@code deploy/}. An
 * invalid configuration is one {@link sandstack.config.InvalidConfigurationException}, whose line names file, key and
 * value. Has no thread, and no state but the positions of names.
 */
package sandstack.config;
