/**
 * Changes of the configuration: acceptance by one compare-and-swap in the store, and distribution to every entry.
 */
package org.trefoilpost.decision.configuration;
