/**
 * Tenants from an LDAP directory, read at an interval on a thread of its own, because the library blocks. Passes each
 * list to a listener; uses the LDAP library, {@code config} and {@code core}.
 */
package sandstack.directory;
