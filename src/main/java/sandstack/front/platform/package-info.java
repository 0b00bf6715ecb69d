/**
 * The front (network side) of the platform's line protocol: client sessions, connections to feed servers, and the
 * forwarding of bytes between the two. Maps the protocol's keywords to the types of {@code core} and makes no balancing
 * decision. Runs on the event loop's thread.
 */
package sandstack.front.platform;
