/**
 * The planned stops under way in each pool, checked against the pool's availability budget.
 */
package org.trefoilpost.decision.ledger;
