package org.agatefield.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits the bytes of a JSON object or array into its members without parsing them.
 *
 * <p>Invariant: the work is linear and the stack constant, however deeply the members are nested;
 * strings and brackets delimit a member, whatever else it contains. Confined to one thread.
 */
final class JsonScanner {
  /**
   * A member of an object or an array. Immutable.
   *
   * @param name the undecoded field name; empty for the element of an array
   * @param start the index of its first byte
   * @param end the index after its last byte
   */
  record Member(String name, int start, int end) {}

  /** The members of an object, or of an array if {@code array}. Immutable. */
  record Container(boolean array, List<Member> members) {
    /** Copies the list. */
    Container {
      members = List.copyOf(members);
    }
  }

  private final byte[] bytes;
  private final int end;
  private int position;

  private JsonScanner(byte[] bytes, int start, int end) {
    this.bytes = bytes;
    this.position = start;
    this.end = end;
  }

  /**
   * Splits the object or array between two indexes; empty if there is neither, or its members are
   * not separated as in JSON.
   */
  static Optional<Container> split(byte[] bytes, int start, int end) {
    return new JsonScanner(bytes, start, end).readContainer();
  }

  private Optional<Container> readContainer() {
    List<Member> members = new ArrayList<>();
    boolean object = skip('{');
    if (!object && !skip('[')) {
      return Optional.empty();
    }
    char close = object ? '}' : ']';
    if (skip(close)) {
      return Optional.of(new Container(!object, members));
    }
    do {
      Optional<Member> member = object ? readField() : readValue("");
      if (member.isEmpty()) {
        return Optional.empty();
      }
      members.add(member.get());
    } while (skip(','));
    return skip(close) ? Optional.of(new Container(!object, members)) : Optional.empty();
  }

  private Optional<Member> readField() {
    Optional<Member> name = readValue("");
    if (name.isEmpty() || bytes[name.get().start()] != '"' || !skip(':')) {
      return Optional.empty();
    }
    int first = name.get().start() + 1;
    int length = name.get().end() - 1 - first;
    return readValue(new String(bytes, first, length, StandardCharsets.UTF_8));
  }

  /** Returns the next value; empty if it is missing or does not end. */
  private Optional<Member> readValue(String name) {
    skipWhitespace();
    int start = position;
    int depth = 0;
    while (position < end) {
      byte next = bytes[position];
      if (depth == 0 && isDelimiter(next)) {
        break;
      }
      if (next == '"' && !skipString()) {
        return Optional.empty();
      }
      depth += next == '{' || next == '[' ? 1 : 0;
      depth -= next == '}' || next == ']' ? 1 : 0;
      position++;
    }
    return depth == 0 && position > start
        ? Optional.of(new Member(name, start, position))
        : Optional.empty();
  }

  /** Moves to the closing quote; returns false if there is none. */
  private boolean skipString() {
    position++;
    while (position < end && bytes[position] != '"') {
      position += bytes[position] == '\\' ? 2 : 1;
    }
    return position < end;
  }

  private boolean skip(char expected) {
    skipWhitespace();
    if (position < end && bytes[position] == expected) {
      position++;
      return true;
    }
    return false;
  }

  private void skipWhitespace() {
    while (position < end && isWhitespace(bytes[position])) {
      position++;
    }
  }

  private static boolean isDelimiter(byte value) {
    return value == ',' || value == ':' || value == '}' || value == ']' || isWhitespace(value);
  }

  private static boolean isWhitespace(byte value) {
    return value == ' ' || value == '\n' || value == '\r' || value == '\t';
  }
}
