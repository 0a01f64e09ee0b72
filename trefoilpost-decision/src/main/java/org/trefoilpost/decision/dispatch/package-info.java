/**
 * Dispatch of requests from their arrival to their final verdict: admission, choice of worker, attempts and retries.
 */
package org.trefoilpost.decision.dispatch;
