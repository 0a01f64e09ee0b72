/**
 * Intents of operators, the plans made for them, and the confirmation of plans.
 */
package org.trefoilpost.decision.plan;
