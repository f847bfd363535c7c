package org.agatefield.command;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigurationCheckCommandTest {
  private static final String SOUND =
      """
      {"generation": 3,
       "deployments": [{"name": "m", "versions": [{"name": "v1", "memoryMegabytes": 5}]}],
       "upstreams": [{"name": "r", "kind": "model_runner", "address": "10.0.0.1:80",
         "failureDomain": {"region": "kochi", "name": "a"},
         "accelerators": 1, "memoryMegabytes": 5}]}
      """;

  @TempDir private Path folder;
  private String sound;
  private String faulty;

  @BeforeEach
  void writeFiles() throws IOException {
    sound = Files.writeString(folder.resolve("sound.json"), SOUND).toString();
    faulty = Files.writeString(folder.resolve("faulty.json"), "{").toString();
  }

  private static int check(String... arguments) {
    String[] all = new String[arguments.length + 2];
    all[0] = "config";
    all[1] = "check";
    System.arraycopy(arguments, 0, all, 2, arguments.length);
    return AgatefieldctlMain.run(all).number();
  }

  @Test
  void exitCodeIsZeroWithoutErrors() {
    assertEquals(0, check(sound));
    assertEquals(0, check("--json", "--against", sound, sound));
  }

  @Test
  void exitCodeIsOneForErrors() {
    assertEquals(1, check(faulty));
  }

  @Test
  void exitCodeIsTwoIfTheCheckCannotRun() {
    assertEquals(2, check());
    assertEquals(2, check(folder.resolve("missing.json").toString()));
    assertEquals(2, check("--against", faulty, sound));
  }
}
