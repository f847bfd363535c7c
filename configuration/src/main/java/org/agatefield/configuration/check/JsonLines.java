package org.agatefield.configuration.check;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/**
 * The lines of some paths in a JSON text. A path that does not exist has the line of its nearest
 * parent.
 *
 * <p>Takes memory for the given paths only, whatever the size of the text. Confined to the thread
 * that creates it.
 */
final class JsonLines {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final Pattern STEP = Pattern.compile("\\.([^.\\[]+)|\\[([0-9]+)]");

  private final Step root = new Step();

  private JsonLines() {}

  /** A step of the given paths. */
  private static final class Step {
    private final Map<String, Step> next = new HashMap<>();
    private OptionalInt line = OptionalInt.empty();
  }

  /**
   * Returns the lines.
   *
   * @param text well-formed JSON
   * @param paths such as {@code $.deployments[0].name}
   */
  static JsonLines of(String text, Collection<String> paths) {
    JsonLines lines = new JsonLines();
    for (String path : paths) {
      Step step = lines.root;
      for (String key : steps(path)) {
        step = step.next.computeIfAbsent(key, ignored -> new Step());
      }
    }
    try (JsonParser parser = FACTORY.createParser(text)) {
      parser.nextToken();
      lines.root.line = lineOf(parser);
      find(parser, lines.root);
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
    return lines;
  }

  OptionalInt line(String path) {
    Step step = root;
    OptionalInt line = root.line;
    for (String key : steps(path)) {
      step = step.next.getOrDefault(key, new Step());
      if (step.line.isEmpty()) {
        return line;
      }
      line = step.line;
    }
    return line;
  }

  private static List<String> steps(String path) {
    return STEP.matcher(path).results().map(JsonLines::key).toList();
  }

  private static String key(MatchResult step) {
    return step.group(1) == null ? step.group(2) : step.group(1);
  }

  /** Visits the value at the parser's position; recursion ends with the given paths. */
  private static void find(JsonParser parser, Step step) throws IOException {
    if (step.next.isEmpty()) {
      parser.skipChildren();
      return;
    }
    if (parser.currentToken() == JsonToken.START_ARRAY) {
      for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
        visit(parser, step.next.get(Integer.toString(i)));
      }
    } else if (parser.currentToken() == JsonToken.START_OBJECT) {
      while (parser.nextToken() != JsonToken.END_OBJECT) {
        Step child = step.next.get(parser.currentName());
        parser.nextToken();
        visit(parser, child);
      }
    }
  }

  private static void visit(JsonParser parser, Step step) throws IOException {
    if (step == null) {
      parser.skipChildren();
      return;
    }
    step.line = lineOf(parser);
    find(parser, step);
  }

  private static OptionalInt lineOf(JsonParser parser) {
    return OptionalInt.of(parser.currentTokenLocation().getLineNr());
  }
}
