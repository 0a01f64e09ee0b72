/**
 * The configuration service of an entry: follows the configuration in force, and accepts operators' changes.
 */
package org.trefoilpost.entry.configuration;
