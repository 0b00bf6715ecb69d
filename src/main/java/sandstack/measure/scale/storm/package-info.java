/**
 * Simulated retry storm after the loss of a zone: the attempts at each remaining relay and feed server, and for how
 * long they exceed the capacity.
 */
package sandstack.measure.scale.storm;
