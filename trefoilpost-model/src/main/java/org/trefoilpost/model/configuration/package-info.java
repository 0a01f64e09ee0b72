/**
 * The configuration that operators set: pools, team quotas and weights, with its YAML and JSON codec.
 */
package org.trefoilpost.model.configuration;
