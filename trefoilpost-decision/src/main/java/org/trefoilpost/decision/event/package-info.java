/**
 * Records of what the system did by itself, what it refused, and why.
 */
package org.trefoilpost.decision.event;
