/**
 * Capacity of servers and admission of connections: limits learned from what one relay observes
 * ({@link sandstack.capacity.CapacityEstimate}), the budget of a server in slow start
 * ({@link sandstack.capacity.SlowStartBudget}), load shedding, tenant quotas and the limits of an installation. The
 * methods are described in docs/server-capacity.md.
 *
 * <p>Computation only: the clock and random numbers are passed in, and nothing here depends on requests, protocols or
 * settings files. Uses the JDK only; the load balancer builds on it.
 */
package sandstack.capacity;
