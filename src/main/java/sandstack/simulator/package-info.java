/**
 * The adapter to the simulator: reads its batches of events, passes them to one load balancer for each instance and
 * writes the actions that come back. The simulator's terms end here. Decides nothing and is no part of a running relay;
 * uses {@code decisions} and the readers of {@code config}.
 */
package sandstack.simulator;
