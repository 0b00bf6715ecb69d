/**
 * The relay as a process: creates its parts, opens the listeners, reloads the configuration on SIGHUP, hands over to a
 * sibling process and drains on SIGTERM. Configures logging. Uses all packages of the relay; used only by the entry
 * point and the commands.
 */
package sandstack.service;
