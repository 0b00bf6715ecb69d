/**
 * The members' wire: a SWIM library (ScaleCube) over TCP, with its own codec kept to known types and sizes, the words of
 * {@code fleet} as JSON, and the one thread on which {@link sandstack.fleet.Membership} lives. Uses {@code fleet} and
 * {@code config}; no relay's loop waits for anything here.
 */
package sandstack.fleet.link;
