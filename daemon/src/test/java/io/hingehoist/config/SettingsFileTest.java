package io.hingehoist.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class SettingsFileTest {
  private static final String VALID =
      """
      node:
        nodeId: server-1
        roles: [entry, control]
        zone: zone-1
        controlAddresses: [127.0.0.1:7101]
        dataFolder: data
      control:
        listenAddress: 127.0.0.1:7101
      entry:
        httpAddress: 127.0.0.1:8080
      """;

  private static SettingsResult read(String text) throws IOException {
    Path file = Files.createTempFile("settings", ".yaml");
    Files.writeString(file, text);
    return SettingsFile.read(file);
  }

  @Test
  public void validFileIsReadWithDefaults() throws IOException {
    DaemonSettings settings = ((SettingsResult.Valid) read(VALID)).settings();
    assertEquals(settings.node().roles(), List.of("entry", "control"));
    assertEquals(settings.control().get().leaseMs(), 3_000);
    assertTrue(settings.agent().isEmpty());
  }

  @DataProvider
  public Object[][] invalidFiles() {
    return new Object[][] {
      {"nodeId: server-1", "nodeIdd: server-1", "node.nodeIdd: value \"(unknown key)\""},
      {"nodeId: server-1", "nodeId: [a]", "node.nodeId: value \"[a]\""},
      {"zone: zone-1", "zone: zone 1", "node.zone: value \"zone 1\""},
      {"  dataFolder: data\n", "", "node.dataFolder: value \"\""},
      {"127.0.0.1:8080", "localhost:8080", "entry.httpAddress: value \"localhost:8080\""},
      {"127.0.0.1:8080", "127.0.0.1:80800", "entry.httpAddress: value \"127.0.0.1:80800\""},
      {"[entry, control]", "[entry, control, agent]", "agent: value \"(missing)\""},
      {"[entry, control]", "[dispatcher]", "node.roles: value \"dispatcher\""},
      {"entry:\n", "entry:\n  maxBodyBytes: 3\n", "entry.maxBodyBytes: value \"3\""},
      {"entry:\n", "entry:\n  maxBodyBytes: many\n", "entry.maxBodyBytes: value \"many\""},
      {"control:\n", "control:\n  leaseMs: 6000\n", "control.memberTimeoutMs: value \"5000\""},
      {"control:\n", "control:\n  heartbeatMs: 900\n", "control.electionTimeoutMs"},
      {"zone: zone-1", "zone: zone-1\n  zone: zone-2", "duplicate key zone"},
      {"node:", "node: {", "(whole file)"},
    };
  }

  @Test(dataProvider = "invalidFiles")
  public void eachProblemIsOneLineWithFileFieldValueAndRange(
      String validText, String invalidText, String expected) throws IOException {
    List<String> problems =
        ((SettingsResult.Invalid) read(VALID.replace(validText, invalidText))).problems();
    String found = String.join("\n", problems);
    assertTrue(found.contains(expected), found);
    assertTrue(problems.stream().allMatch(line -> line.contains("allowed: ")), found);
    assertTrue(problems.stream().allMatch(line -> line.contains("settings")), found);
    assertTrue(problems.stream().noneMatch(line -> line.contains("\n")), found);
  }

  @Test
  public void exponentialAliasExpansionIsRefused() throws IOException {
    StringBuilder document = new StringBuilder("a0: &a0 [x, x]\n");
    for (int i = 1; i < 30; i++) {
      document.append("a%d: &a%d [*a%d, *a%d]%n".formatted(i, i, i - 1, i - 1));
    }
    SettingsResult result = read(document.toString());
    assertTrue(result.toString().contains("aliases"), result.toString());
  }

  @Test
  public void missingFileIsReported() {
    SettingsResult result = SettingsFile.read(Path.of("no-such-file.yaml"));
    assertTrue(((SettingsResult.Invalid) result).problems().getFirst().contains("readable"));
  }
}
