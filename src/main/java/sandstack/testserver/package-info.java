/**
 * Test servers on loopback in place of the systems around a relay: fake feed servers, a fake discovery service, test
 * clients and a link between zones. They implement the published protocols, keep counters that are independent of those
 * of the relay, and inject faults on request. A {@link sandstack.testserver.TestServerLoop} owns their thread. Uses
 * {@code net} and {@code core}; a running relay does not use this package.
 */
package sandstack.testserver;
