package org.passhaven.soak.plan;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** One thing that is done to the system from outside. Times count from the start of traffic. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "fault")
public sealed interface Fault {
  /** Begin, in ms from the start of traffic. */
  long atMillis();

  /** Length in ms; 0 for what happens once. */
  long forMillis();

  /** Indexes of the nodes that are hit; empty where it concerns all or none of them. */
  default List<Integer> nodes() {
    return List.of();
  }

  /** Name of what is done, for counts. */
  String kind();

  /** A link is harmed. With {@link LinkKind#BACK_END} the indexes are those of back ends. */
  record OnLink(long atMillis, long forMillis, LinkKind link, LinkHarm harm, List<Integer> targets)
      implements Fault {
    /** Checks and copies. */
    public OnLink {
      checkTimes(atMillis, forMillis);
      targets = List.copyOf(targets);
    }

    @Override
    public List<Integer> nodes() {
      return link == LinkKind.BACK_END ? List.of() : targets;
    }

    @Override
    public String kind() {
      return "link-" + link + "-" + harm;
    }
  }

  /** Processes are harmed; {@code forMillis} is the time until they run again. */
  record OnProcess(long atMillis, long forMillis, ProcessHarm harm, List<Integer> nodes)
      implements Fault {
    /** Checks and copies. */
    public OnProcess {
      checkTimes(atMillis, forMillis);
      nodes = List.copyOf(nodes);
    }

    @Override
    public String kind() {
      return "process-" + harm;
    }
  }

  /** The store is harmed, for the given nodes or, if there are none, for all. */
  record OnStore(long atMillis, long forMillis, StoreHarm harm, List<Integer> nodes)
      implements Fault {
    /** Checks and copies. */
    public OnStore {
      checkTimes(atMillis, forMillis);
      nodes = List.copyOf(nodes);
    }

    @Override
    public String kind() {
      return "store-" + harm;
    }
  }

  /** A back end is harmed; with a crash {@code forMillis} is the time until it runs again. */
  record OnBackEnd(long atMillis, long forMillis, BackEndHarm harm, int backEnd) implements Fault {
    /** Checks. */
    public OnBackEnd {
      checkTimes(atMillis, forMillis);
    }

    @Override
    public String kind() {
      return "backend-" + harm;
    }
  }

  /**
   * Several back ends crash at the same moment and start again together.
   *
   * @param isReset whether their connections are reset; else they end in the usual way, as those of
   *     a killed process
   */
  record CrashWave(long atMillis, long forMillis, List<Integer> backEnds, boolean isReset)
      implements Fault {
    /** Checks and copies. */
    public CrashWave {
      checkTimes(atMillis, forMillis);
      backEnds = List.copyOf(backEnds);
    }

    @Override
    public String kind() {
      return isReset ? "crash-WAVE-RESET" : "crash-WAVE-KILL";
    }
  }

  /** The next request of a kind crashes each server that begins it, from then on. */
  record OnRequest(long atMillis, RequestHarm harm) implements Fault {
    /** Checks. */
    public OnRequest {
      checkTimes(atMillis, 0);
    }

    @Override
    public long forMillis() {
      return 0;
    }

    @Override
    public String kind() {
      return "request-" + harm;
    }
  }

  /**
   * A back end takes longer than others for the same work.
   *
   * @param factor multiple of the usual time
   */
  record UnevenBackEnd(long atMillis, long forMillis, int backEnd, double factor) implements Fault {
    /** Checks. */
    public UnevenBackEnd {
      checkTimes(atMillis, forMillis);
    }

    @Override
    public String kind() {
      return forMillis > HardLoadPlan.MOMENT_MILLIS ? "uneven-LONG" : "uneven-MOMENT";
    }
  }

  /** Callers put a hard load on the nodes. */
  record OnCallers(long atMillis, long forMillis, CallerHarm harm) implements Fault {
    /** Checks. */
    public OnCallers {
      checkTimes(atMillis, forMillis);
    }

    @Override
    public String kind() {
      return "callers-" + harm;
    }
  }

  /** A back end crashes and starts again, cold where that is configured. */
  record ColdRestart(long atMillis, long forMillis, int backEnd) implements Fault {
    /** Checks. */
    public ColdRestart {
      checkTimes(atMillis, forMillis);
    }

    @Override
    public String kind() {
      return "cold-RESTART";
    }
  }

  /** The operator evacuates a zone, given by its index, and takes it back. */
  record Evacuation(long atMillis, long forMillis, int zone) implements Fault {
    /** Checks. */
    public Evacuation {
      checkTimes(atMillis, forMillis);
    }

    @Override
    public String kind() {
      return "evacuate-ZONE";
    }
  }

  /**
   * All back ends give a share of their answers a second time, and fail and refuse some requests
   * meanwhile, so that tries are made again under the same id. Shares are of a thousand.
   */
  record SecondAnswers(
      long atMillis, long forMillis, int secondPermille, int failPermille, int refusePermille)
      implements Fault {
    /** Checks. */
    public SecondAnswers {
      checkTimes(atMillis, forMillis);
    }

    @Override
    public String kind() {
      return "second-ANSWERS";
    }
  }

  /**
   * All back ends break off a share of their answers, and send something unusual in front of or
   * behind others. Shares are of a thousand.
   */
  record BrokenAnswers(long atMillis, long forMillis, int brokenPermille, int oddPermille)
      implements Fault {
    /** Checks. */
    public BrokenAnswers {
      checkTimes(atMillis, forMillis);
    }

    @Override
    public String kind() {
      return "broken-ANSWERS";
    }
  }

  /** The operator or a back end does planned work. */
  record Change(long atMillis, OperatorChange change, int backEnd) implements Fault {
    /** Checks. */
    public Change {
      checkTimes(atMillis, 0);
    }

    @Override
    public long forMillis() {
      return 0;
    }

    @Override
    public String kind() {
      return "change-" + change;
    }
  }

  private static void checkTimes(long atMillis, long forMillis) {
    if (atMillis < 0 || forMillis < 0) {
      throw new IllegalArgumentException("times of a fault must not be negative");
    }
  }
}
