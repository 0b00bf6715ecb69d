/**
 * Stand-ins on loopback for what a relay meets: feed servers, discovery, clients, a link between zones. They speak the
 * published protocols, keep books of their own that a measurement compares with a relay's, and fail on command. Owns
 * one loop and its thread a {@link sandstack.standin.StandInLoop}; uses {@code net} and {@code core}, and no relay uses it.
 */
package sandstack.standin;
