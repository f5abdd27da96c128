package io.hingehoist.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.settings.CallersSection;
import io.hingehoist.settings.FieldSpecs;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class DescriptorsTest {
  private static final String VARIABLE = "HINGEHOIST_MAX_DESCRIPTORS";
  private static final long CONTROL_HEAP_BYTES = 62L << 20;
  private static final int BOXES = 95;

  private Path limits;

  @BeforeMethod
  public void writeLimits() throws IOException {
    limits = Files.createTempFile("limits", "");
    Files.writeString(
        limits,
        """
        Limit                     Soft Limit           Hard Limit           Units
        Max open files            200                  200                  files
        """);
  }

  @AfterMethod
  public void deleteLimits() throws IOException {
    Files.delete(limits);
  }

  /** A system limit that covers only files kept most processes of a deployment out. */
  @Test
  public void whatTheBoxStatesCountsMoreThanTheSystemLimit() {
    Descriptors stated = Descriptors.of(0, Map.of(VARIABLE, "4096"), limits);
    assertEquals(stated, new Descriptors(4_096, Descriptors.Source.ENVIRONMENT));
    ConnectionLimits peers =
        ConnectionLimits.ofPeers(defaults(), CONTROL_HEAP_BYTES, stated.count());
    assertTrue(peers.maxConnections() >= BOXES, "peers: " + peers.maxConnections());
  }

  private static CallersSection defaults() {
    return CallersSection.from(
        field -> FieldSpecs.find(CallersSection.SPECS, field).orElseThrow().defaultValue());
  }

  @Test
  public void settingsCountMoreThanTheEnvironment() {
    assertEquals(
        Descriptors.of(3_000, Map.of(VARIABLE, "4096"), limits),
        new Descriptors(3_000, Descriptors.Source.SETTINGS));
  }

  @Test
  public void theSystemLimitCountsIfNothingIsStated() {
    assertEquals(
        Descriptors.of(0, Map.of(), limits), new Descriptors(200, Descriptors.Source.SYSTEM));
    assertEquals(
        Descriptors.of(0, Map.of(VARIABLE, "many"), limits),
        new Descriptors(200, Descriptors.Source.SYSTEM));
  }

  @Test
  public void thereIsADefaultIfTheSystemStatesNone() {
    assertEquals(
        Descriptors.of(0, Map.of(), limits.resolveSibling("missing")),
        new Descriptors(1_024, Descriptors.Source.DEFAULT));
  }
}
