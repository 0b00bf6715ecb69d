/**
 * Distribution of one configuration to a fleet of relays. The control machines agree on one order of changes
 * ({@link sandstack.configuration.ConfigurationHistory}, driven by {@code sandstack.configuration.consensus}). Each of
 * them sends the committed changes to relays through a {@link sandstack.configuration.ConfigurationPublisher}. Every
 * relay validates and activates them through its {@link sandstack.configuration.ConfigurationFollower}. The relay
 * process of {@code sandstack.service} does not use this package; {@code sandstack.measure.configuration} and the tests
 * drive it.
 *
 * <p>Nothing in this package does I/O, reads a clock or starts a thread: the current time (microseconds of a monotonic
 * clock), randomness, the transport and the store are passed in. Classes are not thread-safe unless their comment
 * states it.
 */
package sandstack.configuration;
