/**
 * Hollow relays: the membership of many relays in one process, without sockets, clients and feed servers, on a
 * simulated clock and an in-memory network that counts messages. Runs the real membership on a model of the gossip
 * library.
 */
package sandstack.measure.scale.hollow;
