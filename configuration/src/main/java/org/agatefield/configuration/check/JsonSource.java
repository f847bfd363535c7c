package org.agatefield.configuration.check;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.agatefield.configuration.check.CheckFinding.Severity;

/**
 * The text of a configuration and its JSON tree.
 *
 * <p>Invariants: the text is UTF-8, no object has a key twice, and the nesting and the number of
 * entries are bounded, so that the tree can be processed recursively. Errors never quote the text,
 * which may hold keys of accounts. Immutable and thread safe, as long as nobody changes the tree.
 */
public final class JsonSource {
  // The store's JSON has a limit of 64, of which lists of objects take some.
  private static final int MAXIMUM_NESTING = 60;
  private static final int MAXIMUM_NUMBER_CHARACTERS = 1_000;
  // Bounds the memory for the findings about very many tiny entries.
  private static final long MAXIMUM_TOKENS = 400_000;
  private static final JsonMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder()
                          .maxNestingDepth(MAXIMUM_NESTING)
                          .maxTokenCount(MAXIMUM_TOKENS)
                          .maxNumberLength(MAXIMUM_NUMBER_CHARACTERS)
                          .build())
                  .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final String text;
  private final JsonNode root;

  private JsonSource(String text, JsonNode root) {
    this.text = text;
    this.root = root;
  }

  /**
   * Parses a configuration.
   *
   * @throws UnreadableException with the error, if it is not one JSON object within the limits
   */
  public static JsonSource parse(byte[] bytes, int maximumBytes) throws UnreadableException {
    if (bytes.length > maximumBytes) {
      throw unreadable(
          OptionalInt.empty(),
          "more than " + maximumBytes + " bytes",
          "a file of at most " + maximumBytes + " bytes");
    }
    String text = decode(bytes);
    JsonNode root;
    try {
      root = MAPPER.readTree(text);
    } catch (JsonProcessingException exception) {
      throw unreadable(line(exception), reason(exception), "one JSON object within the limits");
    }
    if (!root.isObject()) {
      throw unreadable(OptionalInt.empty(), "no JSON object", "one JSON object");
    }
    return new JsonSource(text, root);
  }

  /** Returns the tree. */
  public JsonNode root() {
    return root;
  }

  /** Returns the findings with the lines of their paths. */
  public List<CheckFinding> withLines(List<CheckFinding> findings) {
    JsonLines lines = JsonLines.of(text, findings.stream().map(CheckFinding::path).toList());
    List<CheckFinding> located = new ArrayList<>();
    findings.forEach(finding -> located.add(finding.atLine(lines.line(finding.path()))));
    return located;
  }

  private static String decode(byte[] bytes) throws UnreadableException {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException exception) {
      throw unreadable(OptionalInt.empty(), "bytes that are not UTF-8", "a text in UTF-8");
    }
  }

  private static OptionalInt line(JsonProcessingException exception) {
    return Optional.ofNullable(exception.getLocation())
        .map(location -> OptionalInt.of(location.getLineNr()))
        .orElse(OptionalInt.empty());
  }

  /** Describes an error without the parser's message, which quotes the text. */
  private static String reason(JsonProcessingException exception) {
    if (exception instanceof StreamConstraintsException) {
      return "nesting deeper than "
          + MAXIMUM_NESTING
          + ", a number longer than "
          + MAXIMUM_NUMBER_CHARACTERS
          + " characters, more than "
          + MAXIMUM_TOKENS
          + " keys and values, or a key that is too long";
    }
    if (exception instanceof MismatchedInputException) {
      return "more than one JSON value";
    }
    String column =
        Optional.ofNullable(exception.getLocation())
            .map(location -> " at column " + location.getColumnNr())
            .orElse("");
    boolean duplicate = exception.getOriginalMessage().startsWith("Duplicate");
    return (duplicate ? "a key that its object already has" : "a syntax error") + column;
  }

  private static UnreadableException unreadable(OptionalInt line, String found, String expected) {
    return new UnreadableException(new CheckFinding(Severity.ERROR, "$", line, found, expected));
  }

  /** Thrown when a file is no configuration at all. Immutable. */
  public static final class UnreadableException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient CheckFinding finding;

    UnreadableException(CheckFinding finding) {
      super(finding.path() + ": found " + finding.found());
      this.finding = finding;
    }

    /** Returns the error. */
    public CheckFinding finding() {
      return finding;
    }
  }
}
