/**
 * The decision module: which server, whether to try again, what to turn away. Owns what one balancer instance
 * believes of its servers and requests; uses {@code sandstack.capacity},
 * {@code sandstack.random}, {@code sandstack.staleness} and the JDK, and nothing that waits, reads a
 * clock or does I/O.
 */
package sandstack.decisions;
