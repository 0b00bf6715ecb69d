/** Builds the settings of the decision module by name. */
package sandstack.settings;
