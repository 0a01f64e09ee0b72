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
final class FailureResponses {
    private FailureResponses() {}

    /**
     * Returns the answer to a call that failed.
     *
     * @param failure  the failure, not null
     * @return the answer, empty if the failure is not one that operators can cause, not null
     */
    static Optional<OperatorResponse> responseTo(Throwable failure) {
        if (failure instanceof ConfigurationException invalid) {
            return Optional.of(invalidConfiguration(invalid));
        } else if (failure instanceof IntentException intent) {
            return Optional.of(OperatorResponse.problem(400, intent.fault().code(), intent.getMessage()));
        } else if (failure instanceof ProposalException proposal) {
            return Optional.of(refusedProposal(proposal));
        } else if (failure instanceof StoreException store) {
            return Optional.of(storeUnavailable(store));
        } else if (failure instanceof DocumentException document) {
            return Optional.of(OperatorResponse.problem(500, "document-unreadable", document.getMessage()));
        } else if (failure instanceof IllegalArgumentException argument) {
            return Optional.of(OperatorResponse.problem(400, "malformed", argument.getMessage()));
        }
        return Optional.empty();
    }

    private static OperatorResponse invalidConfiguration(ConfigurationException invalid) {
        ObjectNode members = OperatorResponse.newObject();
        ArrayNode faults = members.putArray("faults");
        invalid.faults()
                .forEach(fault -> faults.addObject()
                        .put("path", fault.path())
                        .put("value", fault.value())
                        .put("allowed", fault.allowed()));
        return OperatorResponse.problem(422, "invalid-configuration", invalid.getMessage(), members);
    }

    private static OperatorResponse refusedProposal(ProposalException proposal) {
        ObjectNode members = OperatorResponse.newObject();
        proposal.replacement().ifPresent(fresh -> members.set("fresh", FleetReports.proposal(fresh)));
        String type = Codes.of(proposal.kind());
        int status = proposal.kind() == ProposalException.Kind.UNKNOWN_PLAN ? 404 : 409;
        return OperatorResponse.problem(status, type, proposal.getMessage(), members);
    }

    private static OperatorResponse storeUnavailable(StoreException store) {
        ObjectNode members = OperatorResponse.newObject();
        members.put("outcome", store.mayHaveTakenEffect() ? "unknown" : "refused");
        return OperatorResponse.problem(503, "store-unavailable", store.getMessage(), members);
    }
}
