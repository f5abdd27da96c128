package io.hingehoist.run.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.Test;

public final class FollowedHostsTest {

  @Test
  public void followsAllHostsIfThereAreFew() {
    FollowedHosts hosts = new FollowedHosts("o", "east", 3);
    hosts.add("h1", "east");
    hosts.add("h2", "west");
    hosts.add("h3", "west");

    assertEquals(hosts.size(), 3);
  }

  @Test
  public void prefersHostsOfTheSameZone() {
    FollowedHosts hosts = new FollowedHosts("o", "east", 2);
    hosts.add("w1", "west");
    hosts.add("w2", "west");
    hosts.add("e1", "east");
    hosts.add("e2", "east");

    assertTrue(hosts.contains("e1") && hosts.contains("e2"));
    assertFalse(hosts.contains("w1") || hosts.contains("w2"));
  }

  @Test
  public void replacesALostHost() {
    FollowedHosts hosts = new FollowedHosts("o", "east", 1);
    hosts.add("e1", "east");
    hosts.add("w1", "west");
    hosts.remove("e1");

    assertTrue(hosts.contains("w1"));
  }

  @Test
  public void spreadsOwnersOverAllHosts() {
    int ownerCount = 12;
    int hostCount = 60;
    int maxHosts = 20;
    Map<String, Integer> followers = new HashMap<>();
    for (int owner = 0; owner < ownerCount; owner++) {
      FollowedHosts hosts = new FollowedHosts("owner-" + owner, "nowhere", maxHosts);
      for (int host = 0; host < hostCount; host++) {
        hosts.add("host-" + host, "z");
      }
      for (int host = 0; host < hostCount; host++) {
        followers.merge("host-" + host, hosts.contains("host-" + host) ? 1 : 0, Integer::sum);
      }
    }
    long unfollowed = followers.values().stream().filter(count -> count == 0).count();
    int largest = followers.values().stream().max(Integer::compare).orElseThrow();
    // Each host is followed by four owners on average. With random selection, one host in 130 would
    // be followed by none.
    assertTrue(unfollowed <= 2, unfollowed + " hosts are followed by none");
    assertTrue(largest <= 9, "one host is followed by " + largest);
  }
}
