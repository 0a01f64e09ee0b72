/**
 * The steps of the scenarios, in the users' words.
 */
package org.trefoilpost.verify.steps;
