/**
 * Simulation of configuration distribution in a fleet of hollow processes: many relays and control machines run in one
 * process, with real followers and publishers, but without clients, sockets and a real consensus. The clock is
 * simulated, and the in-memory network injects faults. See {@link sandstack.measure.scale.hollow} for the term.
 */
package sandstack.measure.configuration;
