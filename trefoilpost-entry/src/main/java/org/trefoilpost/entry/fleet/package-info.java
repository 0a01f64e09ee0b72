/**
 * The fleet's duty: who is in which pool, operators' plans, and the execution of confirmed plans.
 */
package org.trefoilpost.entry.fleet;
