/**
 * The configuration that operators set: pools, team quotas and weights of plan measures, and its YAML and JSON codec.
 */
package org.trefoilpost.model.configuration;
