package io.hingehoist.run;

import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The decisions of a host: whether a run fits its worker, how long workers and owners may go on,
 * and when a run is provably over.
 *
 * <p>The room of a worker is charged from the order of a run until its end is known, so it is never
 * exceeded. Times are milliseconds of a clock that never goes back. Call a method for each event,
 * then {@link #showRows}, then carry out {@link #takeEffects} in order. Not thread-safe: one thread
 * owns it.
 */
public final class WorkerHost {
  /**
   * How long a worker that runs something may wait for an end. A lost call hides ends so long, and
   * a worker that stands still is known after two lists.
   */
  private static final long BUSY_WAIT_MS = 50;

  /** The same while calls get lost: ends are hidden for 40 ms in place of 200. */
  private static final long LOSSY_WAIT_MS = 20;

  /**
   * The same for a worker that runs nothing. A run that begins meanwhile has a lease of 800 ms,
   * which the next call renews, so 300 are left for that call.
   */
  private static final long IDLE_WAIT_MS = 500;

  private static final long SILENT_RETRY_MS = 50;

  /** While one call of ten gets lost, a worker that is well looks silent once in 1,000 calls. */
  private static final int SILENT_AFTER_LOST_HOLDS = 3;

  private static final long QUICK_HOLD_MS = 2;

  /** An order is sent so often before its number is barred. */
  private static final int MAX_STARTS = 3;

  /** A stop that failed sooner than a lost call would waits for the next tick. */
  private static final long MIN_STOP_PAUSE_MS = 10;

  /**
   * From which unanswered call in a row on a new connection is tried: those that are kept fall
   * silent together. A lost call has cost its connection already.
   */
  private static final int FRESH_CONNECTION_AFTER = 1;

  /** An owner that was shown the workers so lately knows that its host lives. */
  private static final long SHOWN_LATELY_MS = 100;

  private static final long FIRST_TOKEN_JUMP = 1_000;

  private final String hostId;
  private final long incarnation;
  private final String zone;
  private final RunTiming timing;
  private final long quietAtMs;
  private final Map<String, WorkerLife> lives = new LinkedHashMap<>();

  /** Lives that a heartbeat names at the address of another, until one answers or is not there. */
  private final Map<String, WorkerLife> claims = new LinkedHashMap<>();

  private final OwnerSessions sessions = new OwnerSessions();
  private final List<HostEffect> effects = new ArrayList<>();
  private final ShownRows shownRows = new ShownRows();
  private long token;
  private long tokenJump = FIRST_TOKEN_JUMP;
  private final ZoneKnowledge zones = ZoneKnowledge.create();
  private boolean stopping;

  /** Whether this host's zone is known not to be evacuated. */
  private boolean zoneIsOpen;

  private long refusedForZone;

  private WorkerHost(
      String hostId, long incarnation, String zone, RunTiming timing, long token, long nowMs) {
    this.hostId = hostId;
    this.incarnation = incarnation;
    this.zone = zone;
    this.timing = timing;
    this.token = token;
    // What the last life of this host had ordered runs on for no longer than its lease.
    this.quietAtMs = nowMs + timing.workerOverAfterMs();
  }

  /**
   * Creates a host that knows no worker yet.
   *
   * @param token a number above those that earlier lives of this host used, as far as is known
   */
  public static WorkerHost create(
      String hostId, long incarnation, String zone, RunTiming timing, long token, long nowMs) {
    return new WorkerHost(hostId, incarnation, zone, timing, token, nowMs);
  }

  /** Returns what is to be done since the last call, in order. */
  public List<HostEffect> takeEffects() {
    List<HostEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }

  // Workers.

  /** Takes a worker's account of itself. */
  public void workerSeen(WorkerInfo info, long nowMs) {
    WorkerLife known = lives.get(info.workerId());
    if (known == null) {
      unknownSeen(new WorkerLife(info, timing, nowMs), nowMs);
    } else if (!known.isSameAs(info)) {
      note("heartbeatIgnored", "", info.workerId(), "it names another service or address");
    } else if (known.update(info)) {
      note("workerDraining", "", info.workerId(), "version=" + info.version());
    }
  }

  /**
   * A heartbeat may come late, when its sender has crashed and another life is at its address. So
   * one that names an address that is taken is believed only once that life answers a call.
   */
  private void unknownSeen(WorkerLife life, long nowMs) {
    boolean taken =
        lives.values().stream().anyMatch(l -> l.info().address().equals(life.info().address()));
    if (!taken) {
      register(life);
      sendHold(life, nowMs);
    } else if (claims.putIfAbsent(life.id(), life) == null) {
      sendHold(life, nowMs);
    }
  }

  private void register(WorkerLife life) {
    lives.put(life.id(), life);
    note("workerFound", "", life.id(), "service=" + life.info().service());
  }

  /** Takes what a life answered, or did not, whose heartbeat named the address of another. */
  private void claimAnswered(WorkerLife claim, HoldAnswer answer, long nowMs) {
    switch (answer) {
      case HoldAnswer.Listed listed -> replaceBy(claim, listed, nowMs);
      case HoldAnswer.Fenced fenced -> replaceBy(claim, fenced, nowMs);
      case HoldAnswer.Gone gone -> note("heartbeatIgnored", "", claim.id(), "it is gone");
      case HoldAnswer.Unanswered unanswered ->
          note("heartbeatIgnored", "", claim.id(), "it does not answer");
    }
  }

  private void replaceBy(WorkerLife claim, HoldAnswer answer, long nowMs) {
    endLivesAt(claim.info().address());
    register(claim);
    holdAnswered(claim.id(), answer, nowMs);
  }

  private void endLivesAt(String address) {
    for (WorkerLife life : List.copyOf(lives.values())) {
      if (life.info().address().equals(address)) {
        endLife(life, "replaced");
      }
    }
  }

  /** Notes that a worker takes its leave; what runs there is over when it stops answering. */
  public void workerLeaves(String workerId) {
    WorkerLife life = lives.get(workerId);
    if (life != null) {
      WorkerInfo info = life.info();
      life.update(
          new WorkerInfo(
              info.workerId(),
              info.service(),
              info.address(),
              info.zone(),
              true,
              info.capacity(),
              info.labels(),
              info.version(),
              info.clockMs()));
      note("workerLeaves", "", workerId, "");
    }
  }

  private void endLife(WorkerLife life, String reason) {
    lives.remove(life.id());
    note("workerGone", "", life.id(), "reason=" + reason);
    life.runs().forEach(run -> over(life, run, RunEnd.LOST));
    effects.add(new HostEffect.ForgetAddress(life.info().address()));
  }

  // Owners.

  /** Notes a session of an owner, and tells it when every run of its earlier ones is over. */
  public void sessionBegan(long sessionId, String ownerId, long nowMs) {
    sessions.ofOwner(ownerId).ifPresent(former -> closeSession(former, "replaced", nowMs));
    LeaseClock lease = new LeaseClock(timing.ownerLeaseMs(), nowMs);
    OwnerSession session = new OwnerSession(sessionId, ownerId, lease);
    sessions.add(session);
    note("ownerFound", "", ownerId, "session=" + sessionId);
    session.formerRunsOver = isOverBefore(session, nowMs);
    send(sessionId, opened(session));
    showRows(session, nowMs);
  }

  private SessionOpened opened(OwnerSession session) {
    return new SessionOpened(session.id, hostId, incarnation, zone, session.formerRunsOver);
  }

  private void tellOfFormerRuns(long nowMs) {
    for (OwnerSession session : sessions.all()) {
      if (!session.formerRunsOver && isOverBefore(session, nowMs)) {
        session.formerRunsOver = true;
        send(session.id, opened(session));
      }
    }
  }

  private boolean isOverBefore(OwnerSession session, long nowMs) {
    return nowMs >= quietAtMs && !hasEarlierRuns(session);
  }

  private boolean hasEarlierRuns(OwnerSession session) {
    return lives.values().stream()
        .flatMap(life -> life.runs().stream())
        .anyMatch(run -> sessions.isFormer(run.sessionId, session));
  }

  /**
   * Renews an owner's lease, and answers with the workers unless they were shown a moment ago.
   *
   * @param follows whether the owner is to be shown changes as they come
   */
  public void ownerBeat(long sessionId, long sentAtMs, boolean follows, long nowMs) {
    sessions
        .find(sessionId)
        .ifPresent(
            session -> {
              session.lease.onBeat(sentAtMs, nowMs);
              session.follows = follows;
              if (isUnusable(session, nowMs)) {
                closeSession(session, "heartbeats come too late", nowMs);
                return;
              }
              if (!follows || nowMs - session.shownAtMs >= SHOWN_LATELY_MS) {
                showRows(session, nowMs);
              }
            });
  }

  /**
   * A lease that ends before the next heartbeat stops every run. That happens where the first
   * heartbeat of a session took long, by which clocks are compared, as from an owner that has just
   * started. The next session compares them anew; kept, such sessions refused 4,858 starts of one
   * owner in a minute's play with a loss of power.
   */
  private static boolean isUnusable(OwnerSession session, long nowMs) {
    return session.runCount == 0 && session.lease.leftMs(nowMs) < RunTiming.BEAT_MS;
  }

  /** Takes an owner's word of what waits there for room. */
  public void ownerWaiting(long sessionId, OwnerWaiting news, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> session.takeWaiting(news.rows(), nowMs));
  }

  /**
   * Shows the workers to an owner whose session goes on on a new connection: what was shown on the
   * last one may not have come.
   */
  public void sessionResumed(long sessionId, long nowMs) {
    sessions
        .find(sessionId)
        .ifPresent(
            session -> {
              String outcome = "beatAgeMs=" + session.lease.ageMs(nowMs);
              note("sessionResumed", "", session.ownerId, outcome);
              showRows(session, nowMs);
            });
  }

  /** Notes that a session is over and can't go on; the owner's runs are stopped. */
  public void sessionEnded(long sessionId, String reason, long nowMs) {
    sessions.end(sessionId).ifPresent(session -> dropOwner(session, reason, nowMs));
  }

  private void closeSession(OwnerSession session, String reason, long nowMs) {
    effects.add(new HostEffect.CloseSession(session.id));
    sessionEnded(session.id, reason, nowMs);
  }

  private void dropOwner(OwnerSession session, String reason, long nowMs) {
    int stopped = 0;
    for (WorkerLife life : lives.values()) {
      life.offers.forget(session.id);
      for (HostedRun run : life.runs()) {
        if (run.sessionId == session.id) {
          stop(life, run, nowMs);
          stopped++;
        }
      }
    }
    String outcome =
        "reason=%s beatAgeMs=%d runsStopped=%d"
            .formatted(reason, session.lease.ageMs(nowMs), stopped);
    note("ownerLost", "", session.ownerId, outcome);
  }

  // Zones.

  /**
   * Takes word of the evacuated availability zones. In one of them a host starts nothing, whoever
   * asks: an owner may not have heard of it. What runs goes on to its end: it ends within seconds,
   * and to stop it would throw its work away.
   *
   * @param source who told it
   * @return whether it is news, which is to be passed on to every owner
   */
  public boolean zonesLearned(EvacuatedZones heard, String source, long nowMs) {
    if (!zones.learn(heard, nowMs)) {
      return false;
    }
    zoneIsOpen = zones.allowsStartsIn(zone);
    String outcome =
        "version=%d evacuated=%s startsHere=%s runs=%d"
            .formatted(heard.version(), heard.zones(), zoneIsOpen, runCount());
    note("zonesInForce", "", source, outcome);
    return true;
  }

  /** Returns what is known of the evacuated availability zones. */
  public ZoneKnowledge zones() {
    return zones;
  }

  /** Returns the number of runs that were refused as the zone is evacuated, or not known not to. */
  public long refusedForZoneCount() {
    return refusedForZone;
  }

  private boolean takesNothing() {
    return stopping || !zoneIsOpen;
  }

  /** Starts the runs of an order, as far as they may start. */
  public void startRuns(long sessionId, StartRuns order, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> startRuns(session, order, nowMs));
  }

  private void startRuns(OwnerSession session, StartRuns order, long nowMs) {
    session.lastOrder = Math.max(session.lastOrder, order.order());
    if (session.lease.isOver(nowMs)) {
      // A beat that is on its way may yet renew the lease, so the owner must hear of each run.
      order.runs().forEach(run -> refuse(session.id, run, order.workerId(), RunRefusal.NOT_READY));
      return;
    }
    for (RunRef run : order.runs()) {
      start(session, order, run, nowMs);
    }
  }

  private void start(OwnerSession session, StartRuns order, RunRef run, long nowMs) {
    WorkerLife life = lives.get(order.workerId());
    Optional<RunRefusal> refusal = refusalOf(life, session, order, run, nowMs);
    if (refusal.isPresent()) {
      refuse(session.id, run, order.workerId(), refusal.get());
      return;
    }
    HostedRun hosted = new HostedRun(run, order, session.id, nowMs);
    life.add(hosted);
    session.runCount++;
    life.offers.taken(session.id, order.need());
    callStart(life, hosted, nowMs);
  }

  private Optional<RunRefusal> refusalOf(
      WorkerLife life, OwnerSession session, StartRuns order, RunRef run, long nowMs) {
    if (!zoneIsOpen) {
      refusedForZone++;
      return Optional.of(RunRefusal.ZONE_EVACUATED);
    }
    if (life == null || !takesRuns(life.state(stopping, nowMs))) {
      return Optional.of(RunRefusal.NOT_READY);
    }
    if (life.runs().stream().anyMatch(other -> other.run.task().equals(run.task()))) {
      return Optional.of(RunRefusal.NOT_READY);
    }
    boolean fits = Rooms.fits(order.need(), life.freeFor(session.id, nowMs));
    return fits ? Optional.empty() : Optional.of(RunRefusal.ROOM);
  }

  /**
   * That a worker fails what it runs, or does not get on, is shown to owners, who may have no
   * better one.
   */
  private static boolean takesRuns(WorkerState state) {
    return switch (state) {
      case READY, FAILING, SLOW, STALLED -> true;
      case DRAINING, SILENT -> false;
    };
  }

  private void refuse(long sessionId, RunRef run, String workerId, RunRefusal reason) {
    note("runRefused", run.task(), workerId, "run=" + run.number() + " reason=" + reason);
    send(sessionId, new RunNotStarted(run, reason));
  }

  private void callStart(WorkerLife life, HostedRun run, long nowMs) {
    run.calledAtMs = nowMs;
    effects.add(
        new HostEffect.CallStart(
            life.id(),
            life.info().address(),
            run.run,
            run.spec,
            life.grantLease(nowMs),
            token,
            patience(life, run.unansweredCalls, 0)));
  }

  private static HostEffect.Patience patience(WorkerLife life, int lostInARow, long waitMs) {
    boolean fresh = lostInARow >= FRESH_CONNECTION_AFTER;
    return new HostEffect.Patience(waitMs + life.answerTimes.timeoutMs(), fresh);
  }

  /** Stops a run on its owner's word. One that is not here is over. */
  public void stopRun(long sessionId, RunRef run, long nowMs) {
    for (WorkerLife life : lives.values()) {
      Optional<HostedRun> found = life.find(run);
      if (found.isPresent() && found.get().sessionId == sessionId) {
        stop(life, found.get(), nowMs);
        return;
      }
    }
    send(sessionId, new RunEnded(run, RunEnd.LOST, 0));
  }

  private void stop(WorkerLife life, HostedRun run, long nowMs) {
    if (run.state == HostedRun.State.ORDERED || run.state == HostedRun.State.RUNNING) {
      run.state = HostedRun.State.STOPPING;
      callStop(life, run, nowMs);
    }
  }

  private void callStop(WorkerLife life, HostedRun run, long nowMs) {
    run.stopSentAtMs = nowMs;
    run.calledAtMs = nowMs;
    run.stopIsOpen = true;
    sendStop(life, run.run, run.unansweredCalls);
  }

  private void sendStop(WorkerLife life, RunRef run, int lostInARow) {
    effects.add(
        new HostEffect.CallStop(
            life.id(), life.info().address(), run, token, patience(life, lostInARow, 0)));
  }

  // Answers of workers.

  /** Takes what became of a start. */
  public void startAnswered(String workerId, RunRef run, StartAnswer answer, long nowMs) {
    WorkerLife life = lives.get(workerId);
    Optional<HostedRun> found = life == null ? Optional.empty() : life.find(run);
    if (found.isPresent()) {
      startAnswered(life, found.get(), answer, nowMs);
    }
  }

  private void startAnswered(WorkerLife life, HostedRun run, StartAnswer answer, long nowMs) {
    switch (answer) {
      case StartAnswer.Started started -> {
        noteAnswer(life, run, nowMs);
        life.readClock(started.workerClockMs(), nowMs);
        if (run.state == HostedRun.State.ORDERED) {
          run.state = HostedRun.State.RUNNING;
        }
      }
      case StartAnswer.Fenced fenced -> {
        life.readClock(fenced.workerClockMs(), nowMs);
        raiseToken();
        repeatStart(life, run, nowMs);
      }
      case StartAnswer.Late late -> {
        life.readClock(late.workerClockMs(), nowMs);
        repeatStart(life, run, nowMs);
      }
      case StartAnswer.Refused refused -> {
        noteAnswer(life, run, nowMs);
        remove(life, run);
        refuse(run.sessionId, run.run, life.id(), refused.reason());
      }
      case StartAnswer.Unanswered unanswered -> startUnanswered(life, run, nowMs);
      case StartAnswer.Gone gone -> endLife(life, "start found it gone");
    }
  }

  private static void noteAnswer(WorkerLife life, HostedRun run, long nowMs) {
    run.unansweredCalls = 0;
    life.answerTimes.noteAnswer(nowMs - run.calledAtMs);
  }

  /**
   * The same order again is harmless: a worker takes a number once, however often and late it
   * comes. So the run starts some 20 ms later, in place of elsewhere after its number was barred,
   * which took 170 to 400 ms. In the end a stop bars the number, so that the order can't be carried
   * out afterwards.
   */
  private void startUnanswered(WorkerLife life, HostedRun run, long nowMs) {
    life.answerTimes.noteLoss(nowMs);
    run.unansweredCalls++;
    String outcome = "run=" + run.run.number() + " calls=" + run.unansweredCalls;
    note("startUnanswered", run.run.task(), life.id(), outcome);
    if (mayStart(run, nowMs) && run.unansweredCalls < MAX_STARTS) {
      callStart(life, run, nowMs);
    } else {
      run.state = HostedRun.State.STOPPING;
      callStop(life, run, nowMs);
    }
  }

  /**
   * Answers may be heard long after they came, by a host that stood still: an owner whose lease is
   * over may have started the task elsewhere, and the zone may have been evacuated.
   */
  private boolean mayStart(HostedRun run, long nowMs) {
    return run.state == HostedRun.State.ORDERED
        && zoneIsOpen
        && sessions.find(run.sessionId).filter(s -> !s.lease.isOver(nowMs)).isPresent();
  }

  private void repeatStart(WorkerLife life, HostedRun run, long nowMs) {
    if (mayStart(run, nowMs)) {
      callStart(life, run, nowMs);
    } else {
      over(life, run, RunEnd.STOPPED);
    }
  }

  private void raiseToken() {
    token += tokenJump;
    tokenJump *= 2;
    note("tokenRaised", "", hostId, "token=" + token);
  }

  /**
   * Takes what became of a stop.
   *
   * @param answered whether the worker said that it was carried out
   */
  public void stopAnswered(String workerId, RunRef run, boolean answered, long nowMs) {
    WorkerLife life = lives.get(workerId);
    Optional<HostedRun> found = life == null ? Optional.empty() : life.find(run);
    if (found.isPresent() && found.get().state == HostedRun.State.STOPPING) {
      stopAnswered(life, found.get(), answered, nowMs);
    }
  }

  private void stopAnswered(WorkerLife life, HostedRun run, boolean answered, long nowMs) {
    if (answered) {
      noteAnswer(life, run, nowMs);
      run.state = HostedRun.State.STOPPED;
      run.stopSentAtMs = nowMs;
      return;
    }
    life.answerTimes.noteLoss(nowMs);
    run.unansweredCalls++;
    // A connection that is reset at once would be tried a thousand times a second.
    run.stopIsOpen = nowMs - run.calledAtMs >= MIN_STOP_PAUSE_MS;
    if (run.stopIsOpen) {
      callStop(life, run, nowMs);
    }
  }

  /** Takes a worker's list of its runs. */
  public void holdAnswered(String workerId, HoldAnswer answer, long nowMs) {
    WorkerLife claim = claims.remove(workerId);
    if (claim != null) {
      claimAnswered(claim, answer, nowMs);
      return;
    }
    WorkerLife life = lives.get(workerId);
    if (life == null) {
      return;
    }
    life.holdOpen = false;
    switch (answer) {
      case HoldAnswer.Listed listed -> {
        boolean newEnds = takeList(life, listed, nowMs);
        boolean quick = !newEnds && nowMs - life.holdSentAtMs < QUICK_HOLD_MS;
        life.holdDueAtMs = quick ? nowMs + QUICK_HOLD_MS : nowMs;
      }
      case HoldAnswer.Fenced fenced -> {
        life.readClock(fenced.workerClockMs(), nowMs);
        raiseToken();
      }
      case HoldAnswer.Unanswered unanswered -> {
        // One lost call says nothing of the worker; to wait for the next would hide its ends.
        life.lostHolds++;
        life.answerTimes.noteLoss(nowMs);
        if (life.lostHolds == SILENT_AFTER_LOST_HOLDS) {
          note("workerSilent", "", life.id(), "runs=" + life.runs().size());
          life.silent = true;
        }
        life.holdDueAtMs = life.silent ? nowMs + SILENT_RETRY_MS : nowMs;
      }
      case HoldAnswer.Gone gone -> {
        endLife(life, "hold found it gone");
        return;
      }
    }
    if (nowMs >= life.holdDueAtMs) {
      sendHold(life, nowMs);
    }
  }

  private boolean takeList(WorkerLife life, HoldAnswer.Listed listed, long nowMs) {
    life.readClock(listed.workerClockMs(), nowMs);
    life.listed = true;
    life.lostHolds = 0;
    if (life.silent) {
      note("workerAnswers", "", life.id(), "");
      life.silent = false;
    }
    boolean newEnds = false;
    for (HoldAnswer.Ended ended : listed.ended()) {
      if (ended.number() > life.lastSeen) {
        newEnds = true;
        life.lastSeen = ended.number();
        takeEnd(life, ended, nowMs);
      }
    }
    noteProgress(life, listed, nowMs);
    life.runs().forEach(run -> checkListed(life, run, listed));
    List<RunRef> strangers =
        listed.running().stream()
            .map(HoldAnswer.Running::run)
            .filter(run -> life.find(run).isEmpty())
            .toList();
    strangers.forEach(run -> stopStranger(life, run));
    life.hasStrangers = !strangers.isEmpty();
    return newEnds;
  }

  private void noteProgress(WorkerLife life, HoldAnswer.Listed listed, long nowMs) {
    for (HoldAnswer.Running row : listed.running()) {
      life.find(row.run())
          .filter(run -> run.state == HostedRun.State.RUNNING)
          .ifPresent(run -> life.progress.noteProgress(run, row.percent(), nowMs));
    }
    if (life.progress.judge(nowMs)) {
      note("workerPace", "", life.id(), "pace=" + life.progress.pace(nowMs));
    }
  }

  private void takeEnd(WorkerLife life, HoldAnswer.Ended ended, long nowMs) {
    if (ended.how() == RunEnd.DONE) {
      life.failures.noteDone();
    } else if (ended.how() == RunEnd.FAILED && life.failures.noteFailed(nowMs)) {
      note("workerFailing", "", life.id(), "last=" + ended.run().task());
    }
    Optional<HostedRun> found = life.find(ended.run());
    if (found.isPresent()) {
      Room need = found.get().need;
      if (ended.how() == RunEnd.DONE) {
        life.progress.noteDone(found.get(), nowMs);
      }
      boolean wasTight = life.isTightFor(need);
      over(life, found.get(), ended.how(), nowMs);
      if (wasTight) {
        offer(life, need, nowMs);
      }
    }
  }

  /** Keeps freed room for the owner whose work comes first, if any waits. */
  private void offer(WorkerLife life, Room room, long nowMs) {
    String service = life.info().service();
    sessions
        .firstToServe(service)
        .ifPresent(
            session -> {
              session.noteOffered(service);
              life.offers.offer(session.id, room, nowMs);
            });
  }

  /** Offers room again that an owner made no use of. */
  private void offerUnused(WorkerLife life, long nowMs) {
    for (RoomOffers.Unused unused : life.offers.takeUnused(nowMs)) {
      sessions
          .find(unused.sessionId())
          .ifPresent(session -> session.forgetWaiting(life.info().service()));
      offer(life, unused.room(), nowMs);
    }
  }

  /** A run that a list, asked for after its answer, does not show is not there. */
  private void checkListed(WorkerLife life, HostedRun run, HoldAnswer.Listed listed) {
    boolean settled = run.state == HostedRun.State.STOPPED;
    boolean askedLater = life.holdSentAtMs >= run.stopSentAtMs + timing.killGraceMs();
    if (settled && askedLater && !listed.shows(run.run)) {
      over(life, run, RunEnd.STOPPED);
    }
  }

  /** Stops a run that an earlier life of this host, or a late order, left behind. */
  private void stopStranger(WorkerLife life, RunRef run) {
    note("strangerStopped", run.task(), life.id(), "run=" + run.number());
    sendStop(life, run, 0);
  }

  private void over(WorkerLife life, HostedRun run, RunEnd how) {
    over(life, run, how, run.orderedAtMs);
  }

  private void over(WorkerLife life, HostedRun run, RunEnd how, long nowMs) {
    remove(life, run);
    long ranMs = Math.max(0, nowMs - run.orderedAtMs);
    String outcome = "run=" + run.run.number() + " end=" + how + " ms=" + ranMs;
    note("runOver", run.run.task(), life.id(), outcome);
    send(run.sessionId, new RunEnded(run.run, how, ranMs));
  }

  private void remove(WorkerLife life, HostedRun run) {
    life.remove(run);
    sessions.find(run.sessionId).ifPresent(session -> session.runCount--);
  }

  private void sendHold(WorkerLife life, long nowMs) {
    if (life.holdOpen) {
      return;
    }
    life.holdOpen = true;
    life.holdSentAtMs = nowMs;
    long waitMs = waitMs(life, nowMs);
    // The lease of a worker that may be lost is left to end, so that its runs are over at a known
    // time.
    boolean renews = life.lostHolds == 0 && life.hasRuns();
    long deadlineMs = renews ? life.grantLease(nowMs) : 0;
    effects.add(
        new HostEffect.CallHold(
            life.id(),
            life.info().address(),
            deadlineMs,
            token,
            life.lastSeen,
            waitMs,
            patience(life, life.lostHolds, waitMs)));
  }

  /** Until a list shows what is there no run is ordered, so none waits for the first one. */
  private long waitMs(WorkerLife life, long nowMs) {
    if (life.silent || !life.listed) {
      return 0;
    }
    if (!life.hasRuns()) {
      return IDLE_WAIT_MS;
    }
    long mostMs = life.answerTimes.losesCalls(nowMs) ? LOSSY_WAIT_MS : BUSY_WAIT_MS;
    return Math.min(mostMs, untilStopsAreCarriedOut(life, nowMs));
  }

  /** A list that is asked for at that time shows that a stopped run is over. */
  private long untilStopsAreCarriedOut(WorkerLife life, long nowMs) {
    return life.runs().stream()
        .filter(run -> run.state == HostedRun.State.STOPPED)
        .mapToLong(run -> Math.max(0, run.stopSentAtMs + timing.killGraceMs() - nowMs))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  // Time and rows.

  /** Does what the time has made due. */
  public void onTick(long nowMs) {
    for (OwnerSession session : sessions.all()) {
      if (isOver(session, nowMs)) {
        closeSession(session, "lease over", nowMs);
      }
    }
    for (WorkerLife life : List.copyOf(lives.values())) {
      tick(life, nowMs);
    }
    sessions.forgetEnded(this::hasRunsOf);
    tellOfFormerRuns(nowMs);
  }

  /** Where nothing of an owner runs, it need not renew its lease; it does before it orders. */
  private static boolean isOver(OwnerSession session, long nowMs) {
    boolean leaseOver = session.lease.isOver(nowMs);
    return leaseOver
        && (session.runCount > 0 || session.lease.ageMs(nowMs) >= RunTiming.IDLE_SESSION_MS);
  }

  /** Returns whether runs of an open session are not over. */
  public boolean hasRuns(long sessionId) {
    return sessions.find(sessionId).filter(session -> session.runCount > 0).isPresent();
  }

  private boolean hasRunsOf(long sessionId) {
    return lives.values().stream()
        .flatMap(life -> life.runs().stream())
        .anyMatch(run -> run.sessionId == sessionId);
  }

  private void tick(WorkerLife life, long nowMs) {
    if (life.silent && life.isLeaseOver(nowMs)) {
      life.runs().forEach(run -> over(life, run, RunEnd.LOST));
    }
    for (HostedRun run : life.runs()) {
      if (run.state == HostedRun.State.STOPPING && !run.stopIsOpen) {
        callStop(life, run, nowMs);
      }
    }
    if (!life.holdOpen && nowMs >= life.holdDueAtMs) {
      sendHold(life, nowMs);
    }
  }

  /** Takes no further runs; those that are here go on to their ends. */
  public void stopTaking() {
    stopping = true;
  }

  /** Returns whether nothing runs here. */
  public boolean isIdle() {
    return lives.values().stream().noneMatch(WorkerLife::hasRuns);
  }

  /** Returns the number of runs that are not over. */
  public int runCount() {
    return lives.values().stream().mapToInt(life -> life.runs().size()).sum();
  }

  /** Returns the number of workers. */
  public int workerCount() {
    return lives.size();
  }

  /**
   * Shows the workers to every owner if something has changed since the last time, and to those at
   * once that were offered room. What owners don't wait for is put off for a moment, so that
   * several changes go out together.
   */
  public void showRows(long nowMs) {
    lives.values().forEach(life -> offerUnused(life, nowMs));
    ShownRows.Due due = shownRows.due(rows(nowMs), sessions.size(), nowMs);
    for (OwnerSession session : sessions.all()) {
      if (session.rowsDue || isMeant(session, due)) {
        showRows(session, nowMs);
      }
    }
  }

  private static boolean isMeant(OwnerSession session, ShownRows.Due due) {
    return switch (due) {
      case NOBODY -> false;
      case FOLLOWERS -> session.follows;
      case ALL -> true;
    };
  }

  private void showRows(OwnerSession session, long nowMs) {
    session.rowsDue = false;
    session.shownAtMs = nowMs;
    List<WorkerRow> rows =
        lives.values().stream()
            .map(life -> life.toRow(life.freeFor(session.id, nowMs), takesNothing(), nowMs))
            .toList();
    send(session.id, new HostRows(session.lastOrder, rows));
  }

  private List<WorkerRow> rows(long nowMs) {
    return lives.values().stream()
        .map(life -> life.toRow(life.free(), takesNothing(), nowMs))
        .toList();
  }

  private void send(long sessionId, Message message) {
    if (sessions.isOpen(sessionId)) {
      effects.add(new HostEffect.ToOwner(sessionId, message));
    }
  }

  private void note(String event, String task, String where, String outcome) {
    String job = task.isEmpty() ? "" : TaskNames.jobOf(task);
    effects.add(new HostEffect.Noted(new Decision(event, job, task, where, outcome)));
  }
}
