/**
 * Hollow relays: the membership of many relays in one process, over a counted transport in memory and a simulated clock,
 * without sockets, connections of clients or feed servers. The membership is the program's own; what the gossip library
 * does beneath it is modelled.
 */
package sandstack.measure.scale.hollow;
