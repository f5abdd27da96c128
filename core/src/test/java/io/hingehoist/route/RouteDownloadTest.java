package io.hingehoist.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.RoutesPart;
import io.hingehoist.message.RoutesRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests downloads of thousands of routes from replicas that fail or change during the transfer. */
public final class RouteDownloadTest {
  private static final int MANY_ROUTES = 2_000;

  private RouteDownload download;
  private final Map<String, RouteTableHistory> replicas = new HashMap<>();
  private final List<RouteDownload.Effect.TableActivated> activated = new ArrayList<>();
  private final List<RouteDownload.Effect.DownloadFailed> failed = new ArrayList<>();
  private int requestCount;
  private int largestPart;

  @BeforeMethod
  public void createDownload() {
    download = RouteDownload.create();
    replicas.clear();
    activated.clear();
    failed.clear();
    requestCount = 0;
    largestPart = 0;
  }

  private static Route route(int number, int priority) {
    return new Route("r" + number, "h" + number % 3, "/p" + number + "/", "s", priority, 2, 60, 1);
  }

  private static RouteTable table(long version, int routes) {
    List<Route> list = new ArrayList<>();
    for (int i = 0; i < routes; i++) {
      list.add(route(i, 0));
    }
    return RouteTable.of(version, list);
  }

  private RouteTableHistory replica(String name) {
    return replicas.computeIfAbsent(name, n -> RouteTableHistory.create());
  }

  /** Delivers requests to the replicas, and their parts to the download, until there are none. */
  private void exchangeMessages(long nowMs) {
    exchangeMessages(nowMs, Integer.MAX_VALUE);
  }

  private void exchangeMessages(long nowMs, int maxParts) {
    int parts = 0;
    for (List<RouteDownload.Effect> effects = download.drainEffects();
        !effects.isEmpty();
        effects = download.drainEffects()) {
      for (RouteDownload.Effect effect : effects) {
        switch (effect) {
          case RouteDownload.Effect.RequestPart request -> {
            requestCount++;
            Optional<RoutesPart> part = replica(request.source()).answer(request.request());
            if (part.isPresent() && parts++ < maxParts) {
              int routes = part.get().put().size() + part.get().removed().size();
              largestPart = Math.max(largestPart, routes);
              download.onPart(request.source(), part.get(), nowMs);
            }
          }
          case RouteDownload.Effect.TableActivated event -> activated.add(event);
          case RouteDownload.Effect.DownloadFailed event -> failed.add(event);
        }
      }
    }
  }

  private void activate(RouteTable table) {
    replica("a").add(table);
    replica("b").add(table);
    download.onVersionAnnounced("a", table.version(), 0);
    download.onVersionAnnounced("b", table.version(), 0);
    exchangeMessages(0);
    assertEquals(download.table().version(), table.version());
    requestCount = 0;
    activated.clear();
  }

  @Test
  public void anUpdateOfThousandsOfRoutesArrivesInSmallParts() {
    activate(table(7, 10));
    largestPart = 0;
    replica("a").add(table(8, MANY_ROUTES));
    download.onVersionAnnounced("a", 8, 0);
    exchangeMessages(10);
    assertEquals(download.table().routes().size(), MANY_ROUTES);
    assertTrue(
        largestPart <= RouteDeltas.UPDATE_ROUTES_PER_PART,
        "routes in the largest part: " + largestPart);
    assertEquals(activated.getFirst().durationMs(), 10);
  }

  /**
   * Guards against slow first downloads: after a power failure, all owners start at the same time
   * and refuse callers until they have a table.
   */
  @Test
  public void aFirstDownloadOfThousandsOfRoutesTakesFewRoundTrips() {
    replica("a").add(table(7, MANY_ROUTES));
    download.onVersionAnnounced("a", 7, 0);
    exchangeMessages(0);
    assertEquals(download.table().routes().size(), MANY_ROUTES);
    assertTrue(requestCount <= 4, "requested " + requestCount + " parts");
  }

  @Test
  public void theSizeOfPartsIsLimitedByTheReplica() {
    replica("a").add(table(7, MANY_ROUTES));
    RoutesPart part =
        replica("a").answer(new RoutesRequest(0, 0, 7, 0, Integer.MAX_VALUE)).orElseThrow();
    assertTrue(part.put().size() <= RouteDeltas.INITIAL_ROUTES_PER_PART);
    part = replica("a").answer(new RoutesRequest(0, 0, 7, 0, -1)).orElseThrow();
    assertTrue(part.put().size() >= 1);
  }

  @Test
  public void aChangeOfFewRoutesAmongThousandsIsOnePart() {
    activate(table(7, MANY_ROUTES));
    RouteTable.Builder changed = table(7, MANY_ROUTES).toBuilder();
    changed.put(route(500, 3));
    changed.remove(route(7, 0).place());
    replica("a").add(changed.build(9));
    download.onVersionAnnounced("a", 9, 0);
    exchangeMessages(0);
    assertEquals(requestCount, 1);
    assertEquals(download.table().routes().size(), MANY_ROUTES - 1);
    assertTrue(download.table().find("h1", "/p7/x").isEmpty());
    assertEquals(download.table().find("h2", "/p500/x").orElseThrow().priority(), 3);
    assertEquals(download.table().version(), 9);
  }

  @Test
  public void aVersionWithoutChangedRoutesBecomesActive() {
    activate(table(7, 5));
    replica("a").add(table(8, 5));
    download.onVersionAnnounced("a", 8, 0);
    exchangeMessages(0);
    assertEquals(download.table().version(), 8);
    assertEquals(requestCount, 1);
  }

  @Test
  public void theOldTableStaysActiveUntilTheNewOneIsComplete() {
    activate(table(7, 10));
    replica("a").add(table(8, MANY_ROUTES));
    download.onVersionAnnounced("a", 8, 0);
    exchangeMessages(0, 3);
    assertEquals(download.table().version(), 7);
    assertTrue(download.table().find("h0", "/p999/x").isEmpty());
    assertTrue(download.table().find("h0", "/p9/x").isPresent());
  }

  @Test
  public void anotherReplicaIsUsedWhenOneStopsResponding() {
    replica("a").add(table(7, MANY_ROUTES));
    replica("b").add(table(7, MANY_ROUTES));
    download.onVersionAnnounced("a", 7, 0);
    download.onVersionAnnounced("b", 7, 0);
    exchangeMessages(0, 3);
    download.onTick(299);
    exchangeMessages(299);
    assertEquals(download.table().version(), 0);
    download.onTick(300);
    exchangeMessages(300);
    assertEquals(download.table().version(), 7);
    assertEquals(activated.getFirst().source(), "b");
    assertEquals(failed.getFirst().reason(), "no answer");
  }

  @Test
  public void anotherReplicaIsUsedImmediatelyWhenTheConnectionIsLost() {
    replica("a").add(table(7, MANY_ROUTES));
    replica("b").add(table(7, MANY_ROUTES));
    download.onVersionAnnounced("a", 7, 0);
    download.onVersionAnnounced("b", 7, 0);
    exchangeMessages(0, 3);
    download.onSourceLost("a", 5);
    exchangeMessages(5);
    assertEquals(download.table().version(), 7);
  }

  @Test
  public void aNewerVersionDuringADownloadReplacesTheOlderOne() {
    activate(table(7, 10));
    replica("a").add(table(8, MANY_ROUTES));
    download.onVersionAnnounced("a", 8, 0);
    exchangeMessages(0, 3);
    replica("a").add(table(9, MANY_ROUTES + 100));
    download.onVersionAnnounced("a", 9, 0);
    // The part in transit is lost with its connection.
    download.onSourceLost("a", 0);
    download.onVersionAnnounced("a", 9, 0);
    exchangeMessages(0);
    assertEquals(download.table().version(), 9);
    assertEquals(download.table().routes().size(), MANY_ROUTES + 100);
  }

  @Test
  public void aReplicaWithANewerTableSendsTheFirstPartOfThatTable() {
    activate(table(7, 10));
    replica("a").add(table(8, MANY_ROUTES));
    download.onVersionAnnounced("a", 8, 0);
    List<RouteDownload.Effect> effects = download.drainEffects();
    replica("a").add(table(9, 11));
    RouteDownload.Effect.RequestPart request =
        (RouteDownload.Effect.RequestPart) effects.getFirst();
    download.onPart("a", replica("a").answer(request.request()).orElseThrow(), 0);
    exchangeMessages(0);
    assertEquals(download.table().version(), 9);
    assertEquals(download.table().routes().size(), 11);
  }

  @Test
  public void aDownloadThatHoldsAnUnknownTableGetsTheFullTable() {
    download.onVersionAnnounced("other", 7, 0);
    replica("other").add(table(7, 3));
    exchangeMessages(0);
    replica("a").add(table(7, 4));
    replica("a").add(table(8, 4));
    download.onVersionAnnounced("a", 8, 0);
    exchangeMessages(0);
    assertEquals(download.table().version(), 8);
    assertEquals(download.table().routes().size(), 4);
  }

  @Test
  public void changesToADifferentBaseTableAreDetectedByTheDigest() {
    activate(table(7, 3));
    RoutesPart otherBase = RouteDeltas.of(table(7, 4), table(8, 5), 64).getFirst();
    download.onVersionAnnounced("faulty", 8, 0);
    download.drainEffects();
    download.onPart("faulty", otherBase, 0);
    replica("faulty").add(table(8, 5));
    exchangeMessages(0);
    assertEquals(failed.getFirst().reason(), "the digest differs");
    assertEquals(download.table().version(), 8);
    assertEquals(download.table().routes().size(), 5);
  }

  @Test
  public void unrequestedPartsChangeNothing() {
    activate(table(7, 3));
    download.onPart("a", RouteDeltas.of(table(7, 3), table(8, 9), 64).getFirst(), 0);
    assertEquals(download.table().version(), 7);
    download.onVersionAnnounced("a", 6, 0);
    assertTrue(download.drainEffects().isEmpty());
  }
}
