/**
 * How many workers a request for placement advice names, and what earlier answers say about it. Nothing here knows jobs or workers.
 */
package org.trefoilpost.decision.job.advice;
