package io.hingehoist.entry;

import io.hingehoist.message.AgentInfo;
import io.hingehoist.message.AgentStatus;
import io.hingehoist.message.CreditGrant;
import io.hingehoist.message.CreditRecall;
import io.hingehoist.message.FenceReport;
import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.message.RunRefused;
import io.hingehoist.message.RunResponse;
import io.hingehoist.message.TaskFinished;
import io.hingehoist.message.TaskNotStarted;
import io.hingehoist.message.TaskRunning;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.wire.FrameConnection;
import io.hingehoist.wire.FrameHandler;
import io.hingehoist.wire.FrameLink;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;

/** The connections of an entry to the agents. Owned by the dispatch thread. */
final class AgentLinks {
  private static final int MAX_QUEUED_FRAMES = 16_384;

  /** Takes what agents say, on the dispatch thread. */
  interface Listener {
    void onStatus(AgentStatus status, boolean opens);

    void onMessage(String agentId, Message message);

    void onDisconnected(String agentId);
  }

  private static final class Link {
    private final FrameLink frames;
    private long connectionId;

    private Link(FrameLink frames) {
      this.frames = frames;
    }
  }

  private final String ownAddress;
  private final Hello hello;
  private final Listener listener;
  private final Executor dispatchThread;
  private final Metrics metrics;
  private final ThreadFactory threads;
  private final Map<String, Link> links = new HashMap<>();

  AgentLinks(
      String ownAddress,
      Hello hello,
      Listener listener,
      Executor dispatchThread,
      Metrics metrics,
      ThreadFactory threads) {
    this.ownAddress = ownAddress;
    this.hello = hello;
    this.listener = listener;
    this.dispatchThread = dispatchThread;
    this.metrics = metrics;
    this.threads = threads;
  }

  /** Opens links to new agents, and closes those to agents that are gone or have moved. */
  void follow(List<AgentInfo> agents) {
    Set<String> present = new HashSet<>();
    for (AgentInfo agent : agents) {
      present.add(agent.agentId());
      Link link = links.get(agent.agentId());
      if (link != null && !link.frames.address().equals(agent.address())) {
        close(agent.agentId());
        link = null;
      }
      if (link == null) {
        links.put(agent.agentId(), new Link(open(agent)));
      }
    }
    Set.copyOf(links.keySet()).stream().filter(id -> !present.contains(id)).forEach(this::close);
  }

  private FrameLink open(AgentInfo agent) {
    return FrameLink.open(
        agent.address(),
        ownAddress,
        hello,
        new AgentHandler(agent.agentId()),
        metrics,
        threads,
        MAX_QUEUED_FRAMES);
  }

  private void close(String agentId) {
    links.remove(agentId).frames.close();
  }

  void send(String agentId, Message message) {
    Link link = links.get(agentId);
    if (link != null) {
      link.frames.send(message);
    }
  }

  void closeAll() {
    links.values().forEach(link -> link.frames.close());
  }

  private static boolean isFromAgent(Message message) {
    return switch (message) {
      case AgentStatus m -> true;
      case TaskFinished m -> true;
      case TaskNotStarted m -> true;
      case TaskRunning m -> true;
      case FenceReport m -> true;
      case RunResponse m -> true;
      case RunRefused m -> true;
      case CreditGrant m -> true;
      case CreditRecall m -> true;
      default -> false;
    };
  }

  private final class AgentHandler implements FrameHandler {
    private final String agentId;

    private AgentHandler(String agentId) {
      this.agentId = agentId;
    }

    @Override
    public void onMessage(FrameConnection connection, Message message) {
      if (isFromAgent(message)) {
        dispatchThread.execute(() -> receive(connection.id(), message));
      } else {
        metrics.countBadFrame();
        connection.close();
      }
    }

    private void receive(long connectionId, Message message) {
      Link link = links.get(agentId);
      if (link == null) {
        return;
      }
      if (message instanceof AgentStatus status && status.agentId().equals(agentId)) {
        boolean opens = link.connectionId != connectionId;
        link.connectionId = connectionId;
        listener.onStatus(status, opens);
      } else if (link.connectionId == connectionId) {
        listener.onMessage(agentId, message);
      }
    }

    @Override
    public void onClosed(FrameConnection connection) {
      dispatchThread.execute(
          () -> {
            Link link = links.get(agentId);
            if (link != null && link.connectionId == connection.id()) {
              listener.onDisconnected(agentId);
            }
          });
    }
  }
}
