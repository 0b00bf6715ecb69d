/**
 * Reads tenants from an LDAP directory, periodically and on its own thread, because the LDAP library blocks. Passes
 * each list to a listener. Uses the LDAP library, {@code config} and {@code core}.
 */
package sandstack.directory;
