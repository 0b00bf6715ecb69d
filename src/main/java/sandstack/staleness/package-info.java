/**
 * When a relay counts as notified of a change of the endpoint list, and the timeouts and the backoff that follow from
 * that. No I/O, clock or thread: times and random draws are passed in. Uses the JDK only; the load balancer and the
 * discovery client build on it.
 */
package sandstack.staleness;
