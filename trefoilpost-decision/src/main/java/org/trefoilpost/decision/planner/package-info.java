/**
 * Computes plans for intents: the steps, their order and their cost.
 */
package org.trefoilpost.decision.planner;
