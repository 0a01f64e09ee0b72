package org.trefoilpost.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.model.configuration.ConfigurationCodec;
import org.trefoilpost.model.configuration.ConfigurationException;

/**
 * Makes the call of a command and collects every fault of its flags and files.
 */
final class RequestFactory {
    private final Options options;
    private final Settings settings;
    private final List<String> faults = new ArrayList<>();

    RequestFactory(Options options, Settings settings) {
        this.options = options;
        this.settings = settings;
    }

    List<String> faults() {
        return faults;
    }

    ApiRequest request(Command command, List<String> arguments) {
        String first = arguments.isEmpty() ? "" : arguments.get(0);
        String segment = urlEncode(first);
        return switch (command) {
            case APPLY -> applyRequest(first);
            case CONFIGURATION_SHOW -> ApiRequest.read("/v1/configuration");
            case STATUS, VERSION -> ApiRequest.read("/v1/status");
            case POOL_LIST -> ApiRequest.read("/v1/pools");
            case POOL_SHOW -> ApiRequest.read("/v1/pools/" + segment);
            case PLAN_DRAIN, PLAN_GROW, PLAN_SHRINK, PLAN_MOVE, PLAN_WAVE, PLAN_RELEASE -> planRequest(command);
            case PLAN_LIST -> ApiRequest.read("/v1/plans");
            case PLAN_SHOW, PLAN_WATCH -> ApiRequest.read("/v1/plans/" + segment);
            case PLAN_CONFIRM -> ApiRequest.post("/v1/plans/" + segment + "/confirm", operatorBody());
            case PLAN_CANCEL -> ApiRequest.post("/v1/plans/" + segment + "/cancel", operatorBody());
            case PLAN_EXPLAIN -> ApiRequest.read("/v1/plans/" + segment + "/explain");
            case EVENTS -> eventsRequest();
            case JOB_SUBMIT -> ApiRequest.post("/v1/jobs", readFile(first));
            case JOB_SHOW -> ApiRequest.read("/v1/jobs/" + segment);
            case JOB_LIST -> ApiRequest.read("/v1/jobs");
            case JOB_CANCEL -> ApiRequest.post("/v1/jobs/cancel", jobsBody(arguments));
        };
    }

    private ApiRequest applyRequest(String path) {
        String text = readFile(path);
        if (!text.isEmpty()) {
            try {
                ConfigurationCodec.parse(text);
            } catch (ConfigurationException e) {
                e.faults().forEach(fault -> faults.add(path + ": " + fault));
            }
        }
        String expected = options.value("--expected");
        if (expected == null) {
            return ApiRequest.put("/v1/configuration", text);
        }
        checkNumber("--expected", 0);
        return ApiRequest.put("/v1/configuration?expected=" + expected, text);
    }

    private ApiRequest planRequest(Command command) {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("kind", command.words().get(1));
        switch (command) {
            case PLAN_DRAIN -> putExactlyOne(body, "--worker", "--rack", "--data-centre");
            case PLAN_GROW, PLAN_SHRINK -> {
                putExactlyOne(body, "--pool");
                checkNumber("--by", 1);
                putInstanceCount(body);
            }
            case PLAN_MOVE -> {
                putExactlyOne(body, "--worker");
                putExactlyOne(body, "--pool");
            }
            case PLAN_RELEASE -> putExactlyOne(body, "--worker");
            default -> putIfGiven(body, "--pool");
        }
        return ApiRequest.post("/v1/plans", body.toString());
    }

    private void putExactlyOne(ObjectNode body, String... flags) {
        int given = 0;
        for (String flag : flags) {
            given += options.value(flag) == null ? 0 : 1;
            putIfGiven(body, flag);
        }
        if (given != 1) {
            faults.add(given + " of " + String.join(", ", flags) + " given: one is expected");
        }
    }

    private void putIfGiven(ObjectNode body, String flag) {
        if (options.value(flag) != null) {
            body.put(flag.equals("--data-centre") ? "dataCentre" : flag.substring(2), options.value(flag));
        }
    }

    private void putInstanceCount(ObjectNode body) {
        if (faults.isEmpty()) {
            body.put("by", Integer.parseInt(options.value("--by")));
        }
    }

    private void checkNumber(String flag, long least) {
        String text = options.value(flag);
        if (text == null || !text.matches("[0-9]{1,9}") || Long.parseLong(text) < least) {
            faults.add(flag + " " + (text == null ? "missing" : text) + ": a whole number of at least " + least
                    + " is expected");
        }
    }

    private ApiRequest eventsRequest() {
        List<String> query = new ArrayList<>();
        for (String flag : List.of("--pool", "--since")) {
            if (options.value(flag) != null) {
                query.add(flag.substring(2) + "=" + urlEncode(options.value(flag)));
            }
        }
        return ApiRequest.read(query.isEmpty() ? "/v1/events" : "/v1/events?" + String.join("&", query));
    }

    private String operatorBody() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("operator", settings.operator())
                .toString();
    }

    private static String jobsBody(List<String> jobs) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        jobs.forEach(body.putArray("jobs")::add);
        return body.toString();
    }

    private String readFile(String path) {
        try {
            return Files.readString(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            faults.add("can't read the file " + path);
            return "";
        }
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
