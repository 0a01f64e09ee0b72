/**
 * Makes plans for intents: what to do, in which order, at which cost.
 */
package org.trefoilpost.decision.planner;
