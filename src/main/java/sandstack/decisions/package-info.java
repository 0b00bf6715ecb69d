/**
 * The load balancing decisions of one relay instance: which server gets a request, when it is retried, rejected or
 * shed, which server is ejected and which connections migrate. {@link sandstack.decisions.LoadBalancer} is the entry;
 * docs/design.md names the class that holds each rule. The package uses {@code sandstack.capacity},
 * {@code sandstack.random}, {@code sandstack.staleness} and the JDK, and nothing that blocks, reads a clock or does
 * I/O.
 */
package sandstack.decisions;
