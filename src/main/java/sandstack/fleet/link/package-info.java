/**
 * The network side of the fleet: {@link sandstack.fleet.link.FleetMember} runs the {@link sandstack.fleet.Membership}
 * on top of a SWIM library (ScaleCube). This package replaces the library's TCP transport and codec with ones that
 * accept only known types and bounded sizes.
 *
 * <p>Threads: the membership runs on a single thread, called the fleet's thread, which never blocks. The library has a
 * few threads of its own; its events and messages are passed to the fleet's thread. Threads that serve clients never
 * wait for this package.
 */
package sandstack.fleet.link;
