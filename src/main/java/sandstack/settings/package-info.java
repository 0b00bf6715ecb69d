/** A builder for the settings of the load balancer. */
package sandstack.settings;
