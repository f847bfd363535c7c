package org.agatefield.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.agatefield.configuration.ConfigurationFaultsException;
import org.agatefield.configuration.ConfigurationReader;
import org.agatefield.model.ConfigurationDocument;

/** Reads configuration documents from files. Stateless. */
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

  static ConfigurationDocument parse(String file) {
    try {
      return ConfigurationReader.read(read(file));
    } catch (ConfigurationFaultsException exception) {
      throw new CommandException(
          CommandExitCode.REFUSED, file + ": " + System.lineSeparator() + exception.getMessage());
    }
  }
}
