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
 * Checked access to the fields of a JSON document.
 *
 * <p>Every fault is a {@link DocumentException} that names the document and the field.
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
     * @param document  the kind of document, for messages, not null
     * @param bytes  the document as JSON in UTF-8, not null
     * @param newestFormat  the newest format that the caller reads
     * @return the fields, not null
     * @throws DocumentException if the document is damaged or has a newer format
     */
    public static JsonFields parse(String document, byte[] bytes, int newestFormat) {
        JsonFields fields = of(document, tree(document, bytes));
        int format = fields.integer(FORMAT);
        if (format > newestFormat) {
            throw new DocumentException(
                    DocumentFault.NEWER_FORMAT,
                    document + " has format " + format + ", newer than " + newestFormat + "; it is left untouched");
        }
        if (format < 1) {
            throw fields.damaged(FORMAT, "must be at least 1");
        }
        return fields;
    }

    /**
     * Obtains the fields of a JSON object.
     *
     * @param document  the kind of document, for messages, not null
     * @param node  the object, not null
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
     * Writes a JSON tree in UTF-8, its fields in the order of the tree.
     *
     * @param tree  the tree, not null
     * @return the bytes, not null
     */
    public static byte[] write(JsonNode tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree could not be written", e);
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
     * Returns whether a field is there and not null.
     *
     * @param field  the field, not null
     * @return true if it is
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
     * Returns a text.
     *
     * @param field  the field, not null
     * @return the text, not null
     * @throws DocumentException if the field is missing or not a text
     */
    public String text(String field) {
        JsonNode value = required(field);
        if (!value.isTextual()) {
            throw damaged(field, "must be a text");
        }
        return value.textValue();
    }

    /**
     * Returns a text made into a value.
     *
     * @param <T>  the type of the value
     * @param field  the field, not null
     * @param factory  makes the value, throws IllegalArgumentException for an invalid text, not null
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
     * Returns a text made into a value, if the field is there.
     *
     * @param <T>  the type of the value
     * @param field  the field, not null
     * @param factory  makes the value, throws IllegalArgumentException for an invalid text, not null
     * @return the value, not null, empty if the field is missing
     * @throws DocumentException if the field is invalid
     */
    public <T> Optional<T> optionalValue(String field, Function<String, T> factory) {
        return has(field) ? Optional.of(value(field, factory)) : Optional.empty();
    }

    /**
     * Returns a whole number.
     *
     * @param field  the field, not null
     * @return the number
     * @throws DocumentException if the field is missing or not a whole number of 64 bits
     */
    public long number(String field) {
        JsonNode value = required(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw damaged(field, "must be a whole number");
        }
        return value.longValue();
    }

    /**
     * Returns a whole number of 32 bits.
     *
     * @param field  the field, not null
     * @return the number
     * @throws DocumentException if the field is missing or not a whole number of 32 bits
     */
    public int integer(String field) {
        long number = number(field);
        if (number != (int) number) {
            throw damaged(field, "is out of range");
        }
        return (int) number;
    }

    /**
     * Returns a decimal number.
     *
     * @param field  the field, not null
     * @return the number, finite
     * @throws DocumentException if the field is missing or not a number
     */
    public double decimal(String field) {
        JsonNode value = required(field);
        if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw damaged(field, "must be a finite number");
        }
        return value.doubleValue();
    }

    /**
     * Returns an object.
     *
     * @param field  the field, not null
     * @return the fields of the object, not null
     * @throws DocumentException if the field is missing or not an object
     */
    public JsonFields child(String field) {
        return of(document + "." + field, required(field));
    }

    /**
     * Returns the objects of an array.
     *
     * @param field  the field, not null
     * @return the fields of each object, not null
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
     * Returns the exception for a faulty field.
     *
     * @param field  the field, not null
     * @param fault  what is wrong, not null
     * @return the exception, not null
     */
    public DocumentException damaged(String field, String fault) {
        return new DocumentException(DocumentFault.DAMAGED, document + ": field '" + field + "' " + fault);
    }
}
