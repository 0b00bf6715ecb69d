/**
 * Simulation of the configuration distribution at the size of a whole fleet, in one process: real publishers and
 * followers on a simulated clock and an in-memory network with fault injection.
 */
package sandstack.measure.configuration;
