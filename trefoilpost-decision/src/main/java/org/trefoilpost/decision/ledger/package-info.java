/**
 * Ledgers of the planned stops in progress in each pool, which admit a stop only within the pool's availability budget.
 */
package org.trefoilpost.decision.ledger;
