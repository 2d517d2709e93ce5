package org.passhaven.core.memory;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

/**
 * Bound on the bytes of callers' and servers' bodies that a node holds at once. A large body is
 * refused if it would take room reserved for another use or for small bodies, so that a few large
 * bodies do not shut out other requests. Not thread-safe.
 */
public final class ByteBudget {
  /**
   * Bodies up to this size may use the whole budget, reserved shares included: ordinary requests
   * are much smaller.
   */
  public static final int SMALL_BODY_BYTES = 16_384;

  /**
   * Most bytes of a body that are in memory twice while it is written: in the write queue and in
   * the socket's send buffer, for which the system uses twice its size.
   */
  public static final int COPY_BYTES = 98_304;

  /** Memory assumed if the settings name none: no more than the smallest machines have. */
  public static final long DEFAULT_MEMORY_BYTES = 256L << 20;

  /**
   * Part of the heap for bodies; the rest is for the node's tables and texts, and for one body that
   * is copied to join its parts.
   */
  private static final double HEAP_SHARE = 3.0 / 8;

  /** Part of the memory for bodies; the rest is for the program, its heap, threads and sockets. */
  private static final double MEMORY_SHARE = 1.0 / 6;

  /** Part of the budget reserved for small bodies. */
  private static final double SMALL_SHARE = 1.0 / 16;

  private final long totalBytes;
  private final long smallReserveBytes;
  private final Map<BodyUse, Part> parts = new EnumMap<>(BodyUse.class);
  private Runnable onReleased = () -> {};
  private long allHeldBytes;
  private long peakBytes;

  /** Creates a budget of which nothing is held. */
  public ByteBudget(long totalBytes) {
    if (totalBytes <= 0) {
      throw new IllegalArgumentException("a budget of " + totalBytes + " bytes holds nothing");
    }
    this.totalBytes = totalBytes;
    this.smallReserveBytes = (long) (totalBytes * SMALL_SHARE);
    for (BodyUse use : BodyUse.values()) {
      parts.put(use, new Part((long) (totalBytes * use.ownShare())));
    }
  }

  /**
   * The budget of a node.
   *
   * @param memoryBytes what the machine grants to the process
   * @param heapBytes to which the heap may grow
   */
  public static ByteBudget of(long memoryBytes, long heapBytes) {
    return new ByteBudget((long) Math.min(memoryBytes * MEMORY_SHARE, heapBytes * HEAP_SHARE));
  }

  /** Runs a task after each release. */
  public void whenReleased(Runnable task) {
    onReleased = Objects.requireNonNull(task, "task");
  }

  /** Begins to hold a body of which nothing has come yet. */
  public Reservation open(BodyUse use) {
    return new Reservation(use);
  }

  /** Bytes that may be held at once. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Bytes that are held. */
  public long heldBytes() {
    return allHeldBytes;
  }

  /** Bytes that are held for one use. */
  public long heldBytes(BodyUse use) {
    return parts.get(use).heldBytes;
  }

  /** Most bytes that were ever held at once. */
  public long peakBytes() {
    return peakBytes;
  }

  /** The largest body that fits while nothing else is held. */
  public long largestBodyBytes(BodyUse use) {
    long maxBytes = totalBytes - smallReserveBytes - unusedOfOthers(use, false);
    return Math.max(SMALL_BODY_BYTES, Math.max(maxBytes / 2, maxBytes - COPY_BYTES));
  }

  private boolean hasRoom(BodyUse use, long bodyBytes, long moreBytes) {
    long freeBytes = totalBytes - allHeldBytes;
    if (bodyBytes > SMALL_BODY_BYTES) {
      freeBytes -= smallReserveBytes + unusedOfOthers(use, true);
    }
    return moreBytes <= freeBytes;
  }

  private long unusedOfOthers(BodyUse use, boolean nowHeld) {
    long unused = 0;
    for (BodyUse other : BodyUse.values()) {
      if (other != use) {
        Part part = parts.get(other);
        unused += Math.max(0, part.ownBytes - (nowHeld ? part.heldBytes : 0));
      }
    }
    return unused;
  }

  private void add(BodyUse use, long bytes) {
    parts.get(use).heldBytes += bytes;
    allHeldBytes += bytes;
    peakBytes = Math.max(peakBytes, allHeldBytes);
  }

  private static long cost(long bodyBytes) {
    return bodyBytes + Math.min(bodyBytes, COPY_BYTES);
  }

  /** The share reserved for one use, and the bytes held for it. */
  private static final class Part {
    final long ownBytes;
    long heldBytes;

    Part(long ownBytes) {
      this.ownBytes = ownBytes;
    }
  }

  /** One body's room in the budget. */
  public final class Reservation {
    private final BodyUse use;
    private long bodyBytes;
    private boolean released;

    private Reservation(BodyUse use) {
      this.use = Objects.requireNonNull(use, "use");
    }

    /**
     * Reserves more bytes for the body; if there is no room, reserves nothing and returns false.
     */
    public boolean grow(long bytes) {
      if (bytes < 0) {
        throw new IllegalArgumentException("a body can't grow by " + bytes + " bytes");
      }
      long grown = bodyBytes + bytes;
      if (released || !hasRoom(use, grown, cost(grown) - cost(bodyBytes))) {
        return false;
      }
      hold(grown);
      return true;
    }

    /**
     * Reserves bytes in any case: for a body that is in memory already, since it was counted
     * elsewhere until now or is too small to be refused.
     */
    public void take(long bytes) {
      if (!released) {
        hold(bodyBytes + bytes);
      }
    }

    private void hold(long grown) {
      add(use, cost(grown) - cost(bodyBytes));
      bodyBytes = grown;
    }

    /** The body is held no more. Later calls do nothing. */
    public void release() {
      if (!released) {
        released = true;
        if (bodyBytes > 0) {
          add(use, -cost(bodyBytes));
          onReleased.run();
        }
      }
    }
  }
}
