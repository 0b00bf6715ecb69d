/**
 * Reads and validates the configuration: the platform's JSON file and the relay's own TOML files under {@code deploy/}.
 * An invalid configuration throws {@link sandstack.config.InvalidConfigurationException}, whose message is the error
 * line for the operator. Has no threads, and no state except the positions of machine kinds.
 */
package sandstack.config;
