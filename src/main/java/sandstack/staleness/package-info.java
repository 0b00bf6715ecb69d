/**
 * When a relay counts as notified of a change of the endpoint list, and the timeouts and backoff that follow from it.
 * No I/O, clock or thread: times and random draws are passed in. Uses the JDK only; the load balancer and the watch of
 * discovery build on it.
 */
package sandstack.staleness;
