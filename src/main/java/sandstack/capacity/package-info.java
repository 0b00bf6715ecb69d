/**
 * What feed servers can hold, learned from what a relay sees for itself, and the limits that an installation sets.
 * Owns the estimates and their arithmetic; the clock and chance are passed in. Uses the JDK only: the decision module
 * stands on it, and nothing here knows requests, wires or settings files. The method is in docs/server-capacity.md.
 */
package sandstack.capacity;
