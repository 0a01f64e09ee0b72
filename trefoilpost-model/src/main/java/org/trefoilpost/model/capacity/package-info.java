/**
 * What operators ask of a pool's capacity: its availability budget, and the weights of the measures.
 */
package org.trefoilpost.model.capacity;
