package io.hingehoist.scenario;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;
import org.testng.annotations.DataProvider;

/** Runs every scenario; two at a time, each with a cluster of its own. */
@CucumberOptions(
    features = "classpath:features",
    glue = "io.hingehoist.scenario",
    plugin = {"summary", "json:target/scenarios.json"})
public final class ScenariosTest extends AbstractTestNGCucumberTests {
  @Override
  @DataProvider(parallel = true)
  public Object[][] scenarios() {
    return super.scenarios();
  }
}
