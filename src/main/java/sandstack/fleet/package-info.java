/**
 * Membership protocol of a fleet of relays: the members and their status, the part of the fleet that this member
 * reaches ({@link sandstack.fleet.QuorumTracker}), and small values that members publish to each other.
 *
 * <p>The classes of this package have no I/O, clock or thread: the caller passes in the time, in microseconds of a
 * monotonic clock. Only immutable classes are thread-safe. {@code sandstack.fleet.link} adds sockets, threads and the
 * SWIM library (ScaleCube), which the comments call the library.
 */
package sandstack.fleet;
