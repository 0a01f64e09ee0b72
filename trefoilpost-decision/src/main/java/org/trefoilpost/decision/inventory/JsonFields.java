package org.trefoilpost.decision.inventory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * Typed access to the fields of a JSON document, with checks.
 *
 * <p>A missing or invalid field is reported as a {@link DocumentException} that names the document and the field.
 */
public final class JsonFields {
    /** The field that holds a document's format number. */
    public static final String FORMAT = "format";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String document;
    private final JsonNode node;

    private JsonFields(String document, JsonNode node) {
        this.document = document;
        this.node = node;
    }

    /**
     * Parses a document and checks its format number.
     *
     * @param document  the kind of document, for error messages, not null
     * @param bytes  the document as JSON in UTF-8, not null
     * @param newestFormat  the highest format number that the caller supports
     * @return the fields, not null
     * @throws DocumentException if the document is damaged or has a newer format
     */
    public static JsonFields parse(String document, byte[] bytes, int newestFormat) {
        JsonFields fields = of(document, tree(document, bytes));
        int format = fields.integer(FORMAT);
        if (format > newestFormat) {
            throw new DocumentException(
                    DocumentFault.NEWER_FORMAT,
                    document + " has format " + format + ", but the newest supported format is " + newestFormat
                            + "; it is left unchanged");
        }
        if (format < 1) {
            throw fields.damaged(FORMAT, "must be at least 1, but is " + format);
        }
        return fields;
    }

    /**
     * Obtains the fields of a JSON object.
     *
     * @param document  the kind of document, for error messages, not null
     * @param node  the node, null if there is none
     * @return the fields, not null
     * @throws DocumentException if the node is not an object
     */
    public static JsonFields of(String document, JsonNode node) {
        Objects.requireNonNull(document, "document");
        if (node == null || !node.isObject()) {
            throw new DocumentException(DocumentFault.DAMAGED, document + " is not a JSON object");
        }
        return new JsonFields(document, node);
    }

    /**
     * Returns a new JSON object with a format number.
     *
     * @param format  the format number
     * @return the object, not null
     */
    public static ObjectNode newDocument(int format) {
        return newObject().put(FORMAT, format);
    }

    /**
     * Returns a new JSON object without fields.
     *
     * @return the object, not null
     */
    public static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }

    /**
     * Serializes a JSON tree as UTF-8, keeping the order of its fields.
     *
     * @param tree  the tree, not null
     * @return the bytes, not null
     */
    public static byte[] write(JsonNode tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree cannot be serialized", e);
        }
    }

    private static JsonNode tree(String document, byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new DocumentException(DocumentFault.DAMAGED, document + " is not JSON: " + e.getMessage());
        }
    }

    /**
     * Returns whether a field is present and not null.
     *
     * @param field  the field, not null
     * @return true if the field has a value
     */
    public boolean has(String field) {
        return node.hasNonNull(field);
    }

    /**
     * Returns the names of the fields, in the order of the document.
     *
     * @return the names, not null
     */
    public List<String> names() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /**
     * Returns the value of a string field.
     *
     * @param field  the field, not null
     * @return the string, not null
     * @throws DocumentException if the field is missing or not a string
     */
    public String text(String field) {
        JsonNode value = required(field);
        if (!value.isTextual()) {
            throw damaged(field, "must be a string");
        }
        return value.textValue();
    }

    /**
     * Returns the value that a factory makes from a string field.
     *
     * @param <T>  the type of the value
     * @param field  the field, not null
     * @param factory  converts the string, throws IllegalArgumentException if it is invalid, not null
     * @return the value, not null
     * @throws DocumentException if the field is missing or invalid
     */
    public <T> T value(String field, Function<String, T> factory) {
        String text = text(field);
        try {
            return factory.apply(text);
        } catch (IllegalArgumentException e) {
            throw damaged(field, e.getMessage());
        }
    }

    /**
     * Returns the value that a factory makes from a string field, if the field is present.
     *
     * @param <T>  the type of the value
     * @param field  the field, not null
     * @param factory  converts the string, throws IllegalArgumentException if it is invalid, not null
     * @return the value, not null, empty if the field is missing
     * @throws DocumentException if the field is invalid
     */
    public <T> Optional<T> optionalValue(String field, Function<String, T> factory) {
        return has(field) ? Optional.of(value(field, factory)) : Optional.empty();
    }

    /**
     * Returns the value of a 64-bit integer field.
     *
     * @param field  the field, not null
     * @return the number
     * @throws DocumentException if the field is missing or not a 64-bit integer
     */
    public long number(String field) {
        JsonNode value = required(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw damaged(field, "must be a 64-bit integer");
        }
        return value.longValue();
    }

    /**
     * Returns the value of a 32-bit integer field.
     *
     * @param field  the field, not null
     * @return the number
     * @throws DocumentException if the field is missing or not a 32-bit integer
     */
    public int integer(String field) {
        long number = number(field);
        if (number != (int) number) {
            throw damaged(field, "must be a 32-bit integer, but is " + number);
        }
        return (int) number;
    }

    /**
     * Returns the value of a numeric field.
     *
     * @param field  the field, not null
     * @return the number, finite
     * @throws DocumentException if the field is missing or not a finite number
     */
    public double decimal(String field) {
        JsonNode value = required(field);
        if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw damaged(field, "must be a finite number");
        }
        return value.doubleValue();
    }

    /**
     * Returns the fields of an object field.
     *
     * @param field  the field, not null
     * @return the fields of the object, not null
     * @throws DocumentException if the field is missing or not an object
     */
    public JsonFields child(String field) {
        return of(document + "." + field, required(field));
    }

    /**
     * Returns the elements of an array field.
     *
     * @param field  the field, not null
     * @return the fields of each element, in order, not null
     * @throws DocumentException if the field is missing or not an array of objects
     */
    public List<JsonFields> children(String field) {
        JsonNode value = required(field);
        if (!value.isArray()) {
            throw damaged(field, "must be an array");
        }
        List<JsonFields> children = new ArrayList<>(value.size());
        for (JsonNode element : value) {
            children.add(of(document + "." + field, element));
        }
        return children;
    }

    /**
     * Returns the JSON node of a field.
     *
     * @param field  the field, not null
     * @return the node, not null
     * @throws DocumentException if the field is missing
     */
    public JsonNode required(String field) {
        if (!has(field)) {
            throw damaged(field, "is missing");
        }
        return node.get(field);
    }

    /**
     * Returns an exception for an invalid field; the caller throws it.
     *
     * @param field  the field, not null
     * @param fault  what is wrong with the field, as the predicate of a sentence, not null
     * @return the exception, not null
     */
    public DocumentException damaged(String field, String fault) {
        return new DocumentException(DocumentFault.DAMAGED, document + ": field '" + field + "' " + fault);
    }
}
