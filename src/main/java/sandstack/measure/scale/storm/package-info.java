/**
 * The return of clients whose zone was lost, on a simulated clock: how many attempts each remaining relay and feed server
 * sees, and for how long these are more than relays accept.
 */
package sandstack.measure.scale.storm;
