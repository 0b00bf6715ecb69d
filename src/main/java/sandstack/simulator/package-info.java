/**
 * Adapter between the simulator and the load balancer: reads batches of events, passes each event to the load balancer
 * of its instance and writes the resulting actions. "Instance" is the simulator's word for the load balancer of one
 * simulated relay. The simulator's names for events, actions and their fields are used in this package only;
 * {@link sandstack.simulator.EventTranslator} and {@link sandstack.simulator.ActionWriter} map them. The adapter makes
 * no decisions and is not part of a running relay. Uses {@code decisions} and the readers of {@code config}.
 */
package sandstack.simulator;
