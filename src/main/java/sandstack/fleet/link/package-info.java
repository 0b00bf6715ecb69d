/**
 * The fleet's network side: {@link sandstack.fleet.link.FleetMember} runs the {@link sandstack.fleet.Membership} over a
 * SWIM library (ScaleCube) with a TCP transport and a codec of its own, which accept only known types and bounded
 * sizes.
 *
 * <p>Threads: the membership runs on one thread, the fleet's, which never blocks; the library has a few of its own and
 * hands everything over to it. No thread that serves clients waits for anything here.
 */
package sandstack.fleet.link;
