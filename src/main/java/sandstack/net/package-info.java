/**
 * Non-blocking sockets on one thread: the event loop, a socket with a buffer for each direction, and admission control
 * by file descriptors. Built on Grizzly; independent of the protocols and of load balancing. Used by the fronts,
 * {@code discovery}, {@code service}, the test servers and {@code faultinjection}.
 */
package sandstack.net;
