/**
 * The fleet service of an entry: pool membership, operators' plans, and the execution of confirmed plans.
 */
package org.trefoilpost.entry.fleet;
