/**
 * What a caller says of its request.
 */
package org.trefoilpost.model.request;
