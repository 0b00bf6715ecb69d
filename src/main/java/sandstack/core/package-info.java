/**
 * The relay's logic without sockets: requests in flight, connection attempts and established connections, deadlines,
 * the endpoint list and tenants. Passes events to the load balancer in {@code decisions} and executes its actions.
 * {@link sandstack.core.Relay} is the facade for the fronts and the discovery watch. Everything runs on the event
 * loop's thread; the clock is passed in.
 */
package sandstack.core;
