/**
 * Reads and checks the configuration: the platform's JSON and the TOML files of our own under deploy/. Whatever cannot
 * be used ends in one {@link sandstack.config.InvalidConfigurationException}, whose line names file, key and value. Owns no state but
 * the positions of names, and no thread; uses the types of {@code core} and {@code decisions} that it fills.
 */
package sandstack.config;
