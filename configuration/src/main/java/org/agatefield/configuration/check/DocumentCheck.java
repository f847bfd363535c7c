package org.agatefield.configuration.check;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agatefield.configuration.ChangeRules;
import org.agatefield.configuration.ConfigurationDifference;
import org.agatefield.configuration.ConfigurationFault;
import org.agatefield.configuration.ConfigurationFaultsException;
import org.agatefield.configuration.ConfigurationReader;
import org.agatefield.model.ConfigurationDocument;

/**
 * Checks a configuration document.
 *
 * <p>Errors come from the validation of {@link ConfigurationReader}, which daemons use; warnings
 * are added only to documents without errors. Stateless.
 */
public final class DocumentCheck {
  private DocumentCheck() {}

  /**
   * Checks a document.
   *
   * @param inForce the document in force, if it is known
   */
  public static CheckReport check(byte[] bytes, Optional<ConfigurationDocument> inForce) {
    JsonSource source;
    try {
      source = JsonSource.parse(bytes, ConfigurationReader.MAXIMUM_BYTES);
    } catch (JsonSource.UnreadableException exception) {
      return CheckReport.ofErrors(List.of(exception.finding()));
    }
    ConfigurationDocument document;
    try {
      document = ConfigurationReader.read(source.root());
    } catch (ConfigurationFaultsException exception) {
      return CheckReport.ofErrors(
          source.withLines(exception.faults().stream().map(CheckFinding::error).toList()));
    }
    List<CheckFinding> findings = new ArrayList<>();
    inForce.ifPresent(before -> findings.addAll(changeErrors(before, document)));
    findings.addAll(DocumentWarnings.check(document));
    return new CheckReport(
        source.withLines(findings), inForce.map(before -> changes(before, document)));
  }

  /**
   * Returns the document in force.
   *
   * @throws IOException if it cannot be read, with a message that quotes none of it
   */
  public static ConfigurationDocument inForce(String file) throws IOException {
    byte[] bytes = CheckRun.read(file, ConfigurationReader.MAXIMUM_BYTES);
    try {
      return ConfigurationReader.parse(
          JsonSource.parse(bytes, ConfigurationReader.MAXIMUM_BYTES).root());
    } catch (JsonSource.UnreadableException | ConfigurationFaultsException exception) {
      throw new IOException(file + ": not a configuration document", exception);
    }
  }

  private static List<CheckFinding> changeErrors(
      ConfigurationDocument before, ConfigurationDocument after) {
    List<ConfigurationFault> faults = new ArrayList<>(ChangeRules.check(before, after));
    if (after.generation() != before.generation()) {
      faults.add(
          new ConfigurationFault(
              "$.generation",
              Long.toString(after.generation()),
              "the generation in force, " + before.generation()));
    }
    return faults.stream().map(CheckFinding::error).toList();
  }

  private static List<CheckChange> changes(
      ConfigurationDocument before, ConfigurationDocument after) {
    return ConfigurationDifference.between(before, after).changes().stream()
        .map(DocumentChanges::describe)
        .toList();
  }
}
