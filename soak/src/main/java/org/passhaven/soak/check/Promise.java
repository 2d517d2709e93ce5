package org.passhaven.soak.check;

/** What the system promises to those outside. */
public enum Promise {
  /** A job that was accepted is found at every node for as long as promised. */
  JOB_KEPT,
  /** A result once read stays at its position, unchanged, at every node. */
  RESULT_UNCHANGED,
  /** A node that has been undisturbed for the time of recovery can tell of every such job. */
  READABLE_IN_TIME,
  /** After the end of the run all that is still promised is read back from every node. */
  READ_BACK,
  /** The body of an item that is open is found, with its bytes. */
  BODY_KEPT,
  /** An answer or text that looks complete is the whole one, of this request. */
  WHOLE_ANSWER,
  /** A result tells the versions that made it, and they are allowed. */
  TRUTHFUL_VERSIONS,
  /** A request that can't be repeated runs once at most. */
  AT_MOST_ONCE,
  /** What was refused does not run. */
  REFUSED_NOT_RUN,
  /** A node that is asked to end loses no request that it has read. */
  PLANNED_STOP_LOSES_NOTHING,
  /** Nothing runs that nobody asked for, or that was changed on the way. */
  NOTHING_UNASKED,
  /** A request is handled as the configuration in force says. */
  CONFIGURATION_IN_TIME,
  /** Orders to a back end come from one holder at a time. */
  ONE_HOLDER,
  /** An item isn't begun once the end of its job has been acknowledged. */
  QUIET_AFTER_END,
  /** Nothing is begun at a back end once its drain has been acknowledged. */
  QUIET_AFTER_DRAIN,
  /** Nothing reaches a server of an evacuated zone until the evacuation is taken back. */
  ZONE_EMPTIED_IN_TIME,
  /** A cold server gets no more requests a second than it is bound to take. */
  COLD_RATE_KEPT,
  /** A request that has crashed three back ends is kept from them but for a few trials. */
  CRASHES_BOUNDED,
  /** An item during which servers crashed begins at a server again as soon as there is room. */
  ITEM_BEGINS_AGAIN,
  /**
   * No step runs out of time because one of its items is at no server while there is room for it.
   */
  NO_ITEM_STARVED,
  /** A request runs for the tenant of its caller's key, and no server is shown a key. */
  TENANT_TRUE,
  /** While open connections are silent, what may be repeated is served over new ones. */
  SERVED_OVER_NEW_CONNECTIONS,
  /** While one back end answers without end, what may be repeated is served by others. */
  SERVED_BESIDE_ENDLESS_ANSWERS,
  /** While some callers read slowly, others are served about as well as at other times. */
  SERVED_BESIDE_SLOW_READERS,
  /** Of slow readers only those are dropped that read nothing for a long time. */
  ONLY_STALLED_DROPPED,
  /**
   * The memory of a process stays within its bound, and the bodies that it holds within their
   * budget.
   */
  WITHIN_MEMORY,
  /**
   * While one tenant floods, no other tenant's served share falls far below that of all requests.
   */
  NO_TENANT_STARVED,
  /** No process ends by itself. */
  PROCESS_STAYS
}
