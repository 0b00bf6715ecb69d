/**
 * The load balancing decisions of one relay: at which server a request is attempted, when it is retried, rejected or
 * shed, which servers are ejected and which connections migrate. {@link sandstack.decisions.LoadBalancer} is the entry
 * point; docs/design.md lists the class that implements each rule.
 *
 * <p>A client's request for a long-lived connection leads to attempts, one after another, to establish the connection
 * at a feed server, unless the request is rejected first. Connections of one group share work on a server, so a server
 * does that work once for all of them. Loads are microseconds of work per second on a standard core, and a rating is
 * the weight of a server in the endpoint list relative to other servers, which is approximately its size if the
 * settings declare ratings to be sizes. The home zone is the zone of the relay.
 *
 * <p>Nothing here blocks, reads a clock or does I/O. The package depends on {@code sandstack.capacity},
 * {@code sandstack.random}, {@code sandstack.staleness} and the JDK.
 */
package sandstack.decisions;
