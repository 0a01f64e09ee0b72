/**
 * The operators: health, metrics, configuration, pools, plans and events over HTTP.
 */
package org.trefoilpost.entry.operator;
