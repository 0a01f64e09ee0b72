/**
 * Event log of operators' decisions, of what the system did by itself, and of what it refused, with the reasons.
 */
package org.trefoilpost.decision.event;
