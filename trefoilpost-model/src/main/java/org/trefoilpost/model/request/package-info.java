/**
 * Properties of requests that callers state, such as the priority class.
 */
package org.trefoilpost.model.request;
