/**
 * Places jobs on workers and keeps them in shards, as pure decision code.
 */
package org.trefoilpost.decision.job;
