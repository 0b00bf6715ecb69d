/**
 * Distribution of one configuration to a fleet. Control machines commit changes in one order
 * ({@link sandstack.configuration.ConfigurationHistory}, driven by {@code sandstack.configuration.consensus}); each
 * sends them to relays through a {@link sandstack.configuration.ConfigurationPublisher}, and every relay activates a
 * validated state of that order through its {@link sandstack.configuration.ConfigurationFollower}.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread: moments (microseconds of a monotonic clock), randomness,
 * the transport and the store are passed in. Unless a class says otherwise it is not thread-safe.
 */
package sandstack.configuration;
