/**
 * Capacity requirements that operators set: availability budgets, failure domains and the weights of plan measures.
 */
package org.trefoilpost.model.capacity;
