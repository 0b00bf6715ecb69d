/**
 * When what discovery has to tell counts as told to this relay, and what follows for asking. No I/O, clock or thread:
 * moments and draws are passed in. Uses the JDK only; the decision module and the watch stand on it.
 */
package sandstack.staleness;
