/**
 * The platform's line protocol: client sessions, connections to feed servers, and the forwarding of bytes between the
 * two. Maps the protocol's keywords to the terms of {@code core}, and takes no balancing decision. Runs on the loop's
 * thread.
 */
package sandstack.front.platform;
