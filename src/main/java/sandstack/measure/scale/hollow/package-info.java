/**
 * Fleets of hollow relays. Like the hollow nodes of Kubernetes' kubemark, a hollow relay runs real control code without
 * the rest of the process: it has the real membership, but no sockets, clients or feed servers. Many of them run in one
 * process, on a simulated clock, a model of the gossip library and an in-memory network that counts messages.
 */
package sandstack.measure.scale.hollow;
