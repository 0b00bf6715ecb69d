/**
 * Simulated retry storm after the loss of a zone: the rate of attempts at the remaining relays and at the feed servers,
 * and how long it exceeds their capacity.
 */
package sandstack.measure.scale.storm;
