package io.hingehoist.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.hingehoist.cluster.LoopbackNetwork;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class RelayTest {
  private static final int PORT = 8_100;
  private static final int TARGET_PORT = 18_100;
  private static final int CUT_MS = 200;
  private static final int TIMEOUT_MS = 10_000;

  private LoopbackNetwork network;
  private String ip;
  private ServerSocket target;
  private Relay relay;

  @BeforeMethod
  public void open() throws IOException {
    network = LoopbackNetwork.reserve();
    ip = network.ip(1, 1);
    target = new ServerSocket(TARGET_PORT, 1, InetAddress.getByName(ip));
    relay = Relay.open(ip, PORT, ip, TARGET_PORT);
  }

  @AfterMethod(alwaysRun = true)
  public void close() throws IOException {
    relay.close();
    target.close();
    network.close();
  }

  @Test
  public void refusesNewConnectionsWhileOpenOnesContinue() throws IOException {
    try (Socket clientSocket = new Socket(ip, PORT);
        Socket targetSocket = target.accept()) {
      relay.refuseConnections();
      assertConnectionRefused();
      clientSocket.getOutputStream().write(7);
      assertEquals(targetSocket.getInputStream().read(), 7);
    }
  }

  @Test
  public void acceptsConnectionsOnceEveryRefusalIsReverted() throws IOException {
    relay.refuseConnections();
    relay.refuseConnections();
    relay.acceptConnections();
    assertConnectionRefused();
    relay.acceptConnections();
    try (Socket clientSocket = new Socket(ip, PORT);
        Socket targetSocket = target.accept()) {
      clientSocket.getOutputStream().write(7);
      assertEquals(targetSocket.getInputStream().read(), 7);
    }
  }

  @Test
  public void holdsBackTheEndOfAConnectionWhileItIsCut() throws IOException {
    try (Socket clientSocket = new Socket(ip, PORT);
        Socket targetSocket = target.accept()) {
      relay.cutAll();
      targetSocket.shutdownOutput();
      clientSocket.setSoTimeout(CUT_MS);
      assertThrows(SocketTimeoutException.class, () -> clientSocket.getInputStream().read());
      relay.heal();
      clientSocket.setSoTimeout(TIMEOUT_MS);
      assertEquals(clientSocket.getInputStream().read(), -1);
    }
  }

  private void assertConnectionRefused() {
    assertThrows(ConnectException.class, () -> new Socket(ip, PORT).close());
  }
}
