package org.trefoilpost.entry.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.trefoilpost.decision.inventory.DocumentException;
import org.trefoilpost.decision.plan.IntentException;
import org.trefoilpost.entry.fleet.FleetReports;
import org.trefoilpost.entry.fleet.ProposalException;
import org.trefoilpost.entry.log.Codes;
import org.trefoilpost.entry.platform.StoreException;
import org.trefoilpost.model.configuration.ConfigurationException;

/**
 * Translates failures into answers to operators.
 */
final class OperatorFailures {
    private OperatorFailures() {}

    /**
     * Returns the answer to a call that failed.
     *
     * @param failure  the failure, not null
     * @return the answer, empty if the failure is not one that operators can cause, not null
     */
    static Optional<OperatorAnswer> answer(Throwable failure) {
        if (failure instanceof ConfigurationException invalid) {
            return Optional.of(invalid(invalid));
        } else if (failure instanceof IntentException intent) {
            return Optional.of(OperatorAnswer.problem(400, intent.fault().code(), intent.getMessage()));
        } else if (failure instanceof ProposalException proposal) {
            return Optional.of(proposal(proposal));
        } else if (failure instanceof StoreException store) {
            return Optional.of(store(store));
        } else if (failure instanceof DocumentException document) {
            return Optional.of(OperatorAnswer.problem(500, "document-unreadable", document.getMessage()));
        } else if (failure instanceof IllegalArgumentException argument) {
            return Optional.of(OperatorAnswer.problem(400, "malformed", argument.getMessage()));
        }
        return Optional.empty();
    }

    private static OperatorAnswer invalid(ConfigurationException invalid) {
        ObjectNode members = OperatorAnswer.members();
        ArrayNode faults = members.putArray("faults");
        invalid.faults()
                .forEach(fault -> faults.addObject()
                        .put("path", fault.path())
                        .put("value", fault.value())
                        .put("allowed", fault.allowed()));
        return OperatorAnswer.problem(422, "invalid-configuration", invalid.getMessage(), members);
    }

    private static OperatorAnswer proposal(ProposalException proposal) {
        ObjectNode members = OperatorAnswer.members();
        proposal.fresh().ifPresent(fresh -> members.set("fresh", FleetReports.proposal(fresh)));
        String type = Codes.of(proposal.kind());
        int status = proposal.kind() == ProposalException.Kind.UNKNOWN_PLAN ? 404 : 409;
        return OperatorAnswer.problem(status, type, proposal.getMessage(), members);
    }

    private static OperatorAnswer store(StoreException store) {
        ObjectNode members = OperatorAnswer.members();
        members.put("outcome", store.mayHaveTakenEffect() ? "unknown" : "refused");
        return OperatorAnswer.problem(503, "store-unavailable", store.getMessage(), members);
    }
}
