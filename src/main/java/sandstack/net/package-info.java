/**
 * Non-blocking sockets on one thread: the event loop, a socket with a buffer for each direction, and admission control
 * by file descriptors. Built on Grizzly; knows no protocol and takes no balancing decision. The fronts,
 * {@code discovery} and {@code standin} use it.
 */
package sandstack.net;
