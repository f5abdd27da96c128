package io.hingehoist.settings;

import static org.testng.Assert.assertFalse;

import io.hingehoist.message.FieldSpec;
import java.util.List;
import org.testng.annotations.Test;

public final class FieldSpecsTest {

  /**
   * Guards against a string field without a range: such a field accepted only the empty string, so
   * that no host could start.
   */
  @Test
  public void eachFieldOfTheSettingsFileHasARange() {
    List<List<FieldSpec>> sections =
        List.of(
            NodeSection.SPECS,
            ControlSection.SPECS,
            EntrySection.SPECS,
            AgentSection.SPECS,
            OwnerSection.SPECS,
            HostSection.SPECS);
    for (List<FieldSpec> specs : sections) {
      for (FieldSpec spec : specs) {
        boolean needsRange = !spec.type().equals("boolean");
        assertFalse(needsRange && spec.range().isEmpty(), spec.toString());
      }
    }
  }
}
