/**
 * Membership of a fleet of relays: who is a member and with which status, which part of the fleet this member reaches
 * ({@link sandstack.fleet.QuorumTracker}), and small values that members publish to each other.
 *
 * <p>Pure decisions without I/O, clock or thread: the caller passes in the time, as microseconds of a monotonic clock.
 * Nothing here is thread-safe unless it is immutable. {@code sandstack.fleet.link} adds sockets, threads and the SWIM
 * library, which is called the library throughout.
 */
package sandstack.fleet;
