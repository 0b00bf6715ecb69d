/**
 * Capacity of servers and admission of connections: limits learned from what one relay sees
 * ({@link sandstack.capacity.CapacityEstimate}), the budget of a server in slow start
 * ({@link sandstack.capacity.SlowStartBudget}), load shedding, tenant quotas and the limits of an installation. The
 * methods are described in docs/server-capacity.md.
 *
 * <p>Plain arithmetic: the clock and random numbers are passed in, and nothing here knows requests, protocols or
 * settings files. Uses the JDK only; the load balancer builds on it.
 */
package sandstack.capacity;
