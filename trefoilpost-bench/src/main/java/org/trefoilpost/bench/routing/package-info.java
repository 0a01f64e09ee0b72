/**
 * Routing policies compared on a model of one pool in virtual time.
 */
package org.trefoilpost.bench.routing;
