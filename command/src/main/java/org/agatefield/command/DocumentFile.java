package org.agatefield.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads documents that the user names. Stateless. */
final class DocumentFile {
  private DocumentFile() {}

  static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException exception) {
      throw new CommandException(
          CommandExitCode.USAGE, file + ": cannot be read: " + exception.getMessage());
    }
  }
}
