/**
 * Measurements that are commands: each starts real relays and stand-ins, prints a table and says whether its aims
 * hold. The commands to try a relay by hand are here too: stand-ins on this terminal, and one connection. Owns the relay
 * processes that it starts; uses {@code standin} and {@code config}, and nothing uses it but the command line.
 */
package sandstack.measure;
