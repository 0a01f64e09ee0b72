/**
 * The configuration's duty: follows the configuration in force, and accepts operators' changes.
 */
package org.trefoilpost.entry.configuration;
