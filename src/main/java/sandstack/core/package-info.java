/**
 * The relay without sockets: the requests in flight, the connection attempts and established connections, the
 * deadlines, the feed servers and the tenants. Hands events to the load balancer in {@code decisions} and carries out
 * its actions. {@link sandstack.core.Relay} is the facade for the fronts and the watch on discovery. Everything runs on
 * the event loop's thread; the clock is passed in.
 */
package sandstack.core;
