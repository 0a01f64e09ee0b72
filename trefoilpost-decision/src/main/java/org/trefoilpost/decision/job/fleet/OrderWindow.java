package org.trefoilpost.decision.job.fleet;

import java.util.Optional;
import org.trefoilpost.decision.job.Moment;

/**
 * The time in which the owner of the machines may send orders, on a platform that does not compare fencing tokens.
 *
 * <p>There, the orders of two owners must be kept apart in time. An owner sends orders only for a short time after it
 * asked the store to confirm its claim. A new owner waits until the last order that the earlier owner could have sent has
 * arrived or has been abandoned, and only then sends its first one. The wait begins when the claim is answered, or when the
 * new owner learned that there was no owner; both are later than any confirmation of an earlier claim.
 *
 * <p>The time since a confirmation is taken from both clocks, because the steady clock does not advance while a machine
 * is suspended and the wall clock may jump.
 */
public final class OrderWindow {
    /** A window that is always open, for a platform that compares fencing tokens. */
    public static final OrderWindow UNLIMITED = new OrderWindow(0, Optional.empty(), false);

    /** Time for which a confirmation of the claim permits orders. */
    public static final long CONFIRMATION_VALID_MILLIS = 500;

    /** Time after which an order without an answer is abandoned and its connection is reset. */
    public static final long MAX_CALL_MILLIS = 700;

    /** Allowance for different clock rates and for delivery between the platform's own processes. */
    private static final long HANDOVER_MARGIN_MILLIS = 150;

    /** The time between the claim of a new owner and its first order. */
    public static final long HANDOVER_MILLIS = CONFIRMATION_VALID_MILLIS + MAX_CALL_MILLIS + HANDOVER_MARGIN_MILLIS;

    /** Age of a confirmation from which it is renewed. */
    private static final long RENEWAL_AGE_MILLIS = 250;

    private final long firstOrderMillis;
    private final Optional<Moment> confirmed;
    private final boolean limited;

    private OrderWindow(long firstOrderMillis, Optional<Moment> confirmed, boolean limited) {
        this.firstOrderMillis = firstOrderMillis;
        this.confirmed = confirmed;
        this.limited = limited;
    }

    /**
     * Returns the window of a new owner.
     *
     * @param claimed  the time at which the claim was answered, not null
     * @return the window, which is closed until the handover has ended and the claim is confirmed, not null
     */
    public static OrderWindow ofClaim(Moment claimed) {
        return new OrderWindow(claimed.steadyMillis() + HANDOVER_MILLIS, Optional.empty(), true);
    }

    /**
     * Returns this window if there was no owner for some time before the claim, so that no earlier owner has had its claim
     * confirmed since then.
     *
     * @param ownerlessMillis  a time from which on there was no owner, on the steady clock in milliseconds
     * @return the window, not null
     */
    public OrderWindow withHandoverSince(long ownerlessMillis) {
        return limited
                ? new OrderWindow(Math.min(firstOrderMillis, ownerlessMillis + HANDOVER_MILLIS), confirmed, true)
                : this;
    }

    /**
     * Returns this window after a confirmation of the claim.
     *
     * @param requested  the time at which the confirmation was requested, not null
     * @return the window, not null
     */
    public OrderWindow withConfirmation(Moment requested) {
        return limited ? new OrderWindow(firstOrderMillis, Optional.of(requested), true) : this;
    }

    /**
     * Returns this window without its confirmation, for a process that was suspended.
     *
     * @return the window, not null
     */
    public OrderWindow withoutConfirmation() {
        return limited ? new OrderWindow(firstOrderMillis, Optional.empty(), true) : this;
    }

    /**
     * Returns whether an order may be sent.
     *
     * @param now  the present time, not null
     * @return true if an order may be sent now
     */
    public boolean includes(Moment now) {
        return !limited
                || now.steadyMillis() >= firstOrderMillis && isConfirmationYounger(CONFIRMATION_VALID_MILLIS, now);
    }

    /**
     * Returns whether the claim must be confirmed soon for orders to be sent.
     *
     * @param now  the present time, not null
     * @return true if a confirmation is to be requested
     */
    public boolean isConfirmationDue(Moment now) {
        return limited
                && now.steadyMillis() >= firstOrderMillis - RENEWAL_AGE_MILLIS
                && !isConfirmationYounger(RENEWAL_AGE_MILLIS, now);
    }

    private boolean isConfirmationYounger(long millis, Moment now) {
        if (confirmed.isEmpty()) {
            return false;
        }
        long steadyAge = now.steadyMillis() - confirmed.get().steadyMillis();
        long wallAge = now.wallMillis() - confirmed.get().wallMillis();
        return steadyAge < millis && Math.abs(wallAge) < millis;
    }
}
