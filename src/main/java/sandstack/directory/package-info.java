/**
 * Tenants from an LDAP directory, read at an interval on a thread of its own, since the library waits for its answers.
 * Hands each list that was read to whoever started it; uses the LDAP library, {@code config} and {@code core}.
 */
package sandstack.directory;
