/**
 * Operators' intents, the plans computed for them, and the confirmation of plans.
 */
package org.trefoilpost.decision.plan;
