/**
 * How a change of the configuration is accepted by one compare-and-swap and comes into force at every entry.
 */
package org.trefoilpost.decision.configuration;
