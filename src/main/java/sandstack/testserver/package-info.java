/**
 * Test servers on loopback for what a relay meets: feed servers, discovery, clients and a link between zones. They
 * speak the published protocols, count independently of the relay and inject faults when they are told to. A
 * {@link sandstack.testserver.TestServerLoop} owns their thread. Uses {@code net} and {@code core}; no relay uses this
 * package.
 */
package sandstack.testserver;
