/**
 * The HTTP API for operators: health, metrics, configuration, pools, plans and events.
 */
package org.trefoilpost.entry.operator;
