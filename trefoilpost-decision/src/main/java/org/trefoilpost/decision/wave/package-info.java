/**
 * Carries out the steps of confirmed plans, one recorded phase after another.
 */
package org.trefoilpost.decision.wave;
