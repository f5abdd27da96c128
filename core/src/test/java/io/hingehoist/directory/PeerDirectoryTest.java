package io.hingehoist.directory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Peer;
import io.hingehoist.message.Role;
import java.util.List;
import org.testng.annotations.Test;

public final class PeerDirectoryTest {
  private static Peer peer(String address, long incarnation) {
    return new Peer("n" + address, Role.AGENT, address, incarnation, "z");
  }

  @Test
  public void recentlyAnnouncedHoldsOnlyDirectAnnouncements() {
    PeerDirectory directory = PeerDirectory.create(10_000);
    directory.recordAnnounced(peer("a:1", 1), 1_000);
    directory.recordRelayed(peer("b:1", 1), 1_000);
    assertEquals(directory.recentlyAnnounced(1_500), List.of(peer("a:1", 1)));
    assertEquals(directory.peers().size(), 2);
    assertEquals(directory.recentlyAnnounced(9_000), List.of());
  }

  @Test
  public void anOlderIncarnationDoesNotReplaceANewerOne() {
    PeerDirectory directory = PeerDirectory.create(10_000);
    directory.recordAnnounced(peer("a:1", 2), 1_000);
    long version = directory.version();
    directory.recordRelayed(peer("a:1", 1), 1_100);
    assertEquals(directory.peers(), List.of(peer("a:1", 2)));
    assertEquals(directory.version(), version);
  }

  @Test
  public void expiresRecordsThatWereNotRenewed() {
    PeerDirectory directory = PeerDirectory.create(10_000);
    directory.recordAnnounced(peer("a:1", 1), 1_000);
    long version = directory.version();
    directory.expire(11_001);
    assertEquals(directory.peers(), List.of());
    assertTrue(directory.version() > version);
  }
}
