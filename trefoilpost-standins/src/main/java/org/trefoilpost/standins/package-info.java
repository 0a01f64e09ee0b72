/**
 * Stand-ins of the platform and of workers, for tests and for trying the product.
 */
package org.trefoilpost.standins;
