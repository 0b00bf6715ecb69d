/**
 * The distribution of the configuration at the size of a whole fleet in one process: the real publishers and followers
 * on a simulated clock and a counted network in memory, with faults where a test asks for them.
 */
package sandstack.measure.configuration;
