/**
 * The request service: dispatches callers' requests to workers and gives each its final verdict.
 */
package org.trefoilpost.entry.request;
