package io.hingehoist.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.SettingEntry;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public final class SettingsTreeTest {

  private static SettingsTree treeWith(String path, String key, String value) {
    return SettingsTree.empty().with(1, List.of(new SettingEntry(path, key, Optional.of(value))));
  }

  @Test
  public void aNodeInheritsFromTheNearestNodeThatOverrides() {
    SettingsTree tree = treeWith("/porting", "taskTimeoutMs", "5000");
    SettingsPath leaf = SettingsPath.of("porting", "activation", "zone-1");
    SettingsTree.EffectiveValue value =
        tree.effective(leaf, FieldSpecs.find(ServicePolicy.SPECS, "taskTimeoutMs").orElseThrow());
    assertEquals(value.value(), "5000");
    assertEquals(value.source(), "/porting");
    assertEquals(tree.policyAt(SettingsPath.root()).taskTimeoutMs(), 30_000);
  }

  @Test
  public void anUnsetValueInheritsAgain() {
    SettingsTree tree =
        treeWith("/porting", "enabled", "false")
            .with(2, List.of(new SettingEntry("/porting", "enabled", Optional.empty())));
    assertTrue(tree.policyAt(SettingsPath.parse("/porting").orElseThrow()).enabled());
    assertTrue(tree.toEntries().isEmpty());
  }

  @Test
  public void aBadValueIsNamedWithItsRange() {
    String problem =
        SettingsTree.validate("/porting", "taskTimeoutMs", Optional.of("5")).orElseThrow();
    assertEquals(problem, "taskTimeoutMs: value \"5\" is not allowed; allowed: 10..600000");
  }

  @Test
  public void pathsAreChecked() {
    assertTrue(SettingsPath.parse("/").isPresent());
    assertTrue(SettingsPath.parse("/a/b/c").isPresent());
    assertFalse(SettingsPath.parse("/a/b/c/d").isPresent());
    assertFalse(SettingsPath.parse("a").isPresent());
    assertFalse(SettingsPath.parse("/a//b").isPresent());
  }
}
