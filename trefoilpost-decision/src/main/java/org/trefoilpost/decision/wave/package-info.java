/**
 * Executes confirmed plans: a state machine moves each step through phases that are recorded before they are carried out.
 *
 * <p>The execution of a confirmed plan is called a wave, whatever the intent of the plan is.
 */
package org.trefoilpost.decision.wave;
