/**
 * The relay as a process: wires the parts together, opens the listeners, reloads the configuration on SIGHUP, hands
 * over to a sibling process, and drains on SIGTERM. Owns the log's set-up. Uses all packages of the relay, and only the
 * commands use it.
 */
package sandstack.service;
