package io.hingehoist.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cucumber.datatable.DataTable;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.hingehoist.cluster.LocalCluster;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;

/** Steps that send invalid input, which must be refused. */
public final class BadInputSteps {
  private static final List<String> NODES = List.of("server-1", "server-2", "server-3", "agent-1");
  private final ScenarioContext context = CurrentScenario.context();

  private HttpResponse<String> post(String path, String body) throws Exception {
    URI uri = URI.create("http://" + context.cluster.httpAddress(1) + path);
    return context.http.send(
        HttpRequest.newBuilder(uri)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  @Then("these bodies are refused:")
  public void bodiesAreRefused(DataTable table) throws Exception {
    for (Map<String, String> row : table.asMaps()) {
      HttpResponse<String> response = post(row.get("path"), row.get("body"));
      String exchange = row.get("body") + " -> " + response.statusCode() + " " + response.body();
      assertEquals(response.statusCode(), Integer.parseInt(row.get("status")), exchange);
      String reason = row.get("reason") == null ? "" : row.get("reason");
      assertTrue(response.body().replace("\\\"", "\"").contains(reason), exchange);
      assertTrue(response.body().contains("refused"), exchange);
    }
  }

  @Then("a job of {int} tasks is refused with status {int}")
  public void jobWithTooManyTasksIsRefused(int tasks, int status) throws Exception {
    ObjectNode body = context.submission("many");
    var list = body.putArray("tasks");
    for (int i = 0; i < tasks; i++) {
      list.addObject().put("payload", "ms=1 many/" + i);
    }
    HttpResponse<String> response = post("/v1/jobs", body.toString());
    assertEquals(response.statusCode(), status, response.body());
    assertTrue(response.body().contains("1 to 1900 tasks"), response.body());
    assertEquals(context.startCount("many"), 0);
  }

  @Then("a body of {int} bytes is refused with status {int}")
  public void oversizedBodyIsRefused(int bytes, int status) throws Exception {
    String body = "{\"caller\":\"" + "x".repeat(bytes) + "\"}";
    // Repeated, because an answer that is sent before the body has been read is lost only
    // sometimes.
    for (int i = 0; i < 50; i++) {
      assertEquals(post("/v1/jobs", body).statusCode(), status);
    }
  }

  @When("garbage and an oversized frame are sent to every internal port")
  public void sendInvalidFrames() throws IOException {
    for (String name : NODES) {
      int port = name.startsWith("server") ? 7_100 : 7_200;
      send(name, port, new byte[] {0, 0, 0, 4, (byte) 0xc1, 1, 2, 3});
      send(name, port, new byte[] {0x7f, 0, 0, 0, 1});
      send(name, port, "GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
  }

  private void send(String name, int port, byte[] bytes) throws IOException {
    try (Socket socket = new Socket(context.cluster.ipOf(name), port)) {
      new DataOutputStream(socket.getOutputStream()).write(bytes);
      // The end of the stream shows that the other side has closed the connection.
      assertEquals(socket.getInputStream().read(), -1);
    }
  }

  @Then("the bad frames are counted")
  public void badFramesAreCounted() {
    for (String name : NODES) {
      int number = Integer.parseInt(name.substring(name.indexOf('-') + 1));
      String address =
          name.startsWith("server")
              ? context.cluster.httpAddress(number)
              : context.cluster.metricsAddress(number);
      LocalCluster.await(
          name + " has counted three bad frames",
          () ->
              context
                  .cluster
                  .body(address, "/metrics")
                  .contains("hingehoist_bad_frames_total 3.0"));
    }
  }
}
