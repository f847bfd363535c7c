package org.agatefield.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.io.PrintStream;

/** Prints the text of a stream of chat completion chunks as it arrives. For use by one thread. */
final class StreamPrinter {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DATA = "data:";
  private static final String END_MARKER = "[DONE]";

  private final PrintStream output;
  private final RecordParser lines = RecordParser.newDelimited("\n", this::line);
  private boolean endMarkerSeen;

  StreamPrinter(PrintStream output) {
    this.output = output;
  }

  void part(Buffer part) {
    lines.handle(part);
  }

  /**
   * Ends the line and returns whether the end marker was received, which means that the answer is
   * complete.
   */
  boolean finish() {
    output.println();
    if (!endMarkerSeen) {
      System.err.println("the answer is incomplete: it ended without its end marker");
    }
    return endMarkerSeen;
  }

  private void line(Buffer line) {
    String text = line.toString().trim();
    if (!text.startsWith(DATA)) {
      return;
    }
    String data = text.substring(DATA.length()).trim();
    if (data.equals(END_MARKER)) {
      endMarkerSeen = true;
      return;
    }
    printChunk(data);
  }

  private void printChunk(String data) {
    try {
      JsonNode chunk = MAPPER.readTree(data);
      if (chunk.has("error")) {
        System.err.println(data);
        return;
      }
      output.print(chunk.at("/choices/0/delta/content").asText(""));
      output.flush();
    } catch (JsonProcessingException exception) {
      System.err.println("not JSON: " + data);
    }
  }
}
