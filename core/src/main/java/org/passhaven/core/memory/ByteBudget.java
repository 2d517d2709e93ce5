package org.passhaven.core.memory;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

/**
 * Limits the memory for request and response bodies that a node holds at once. A large body is
 * refused if it would use memory reserved for another purpose or for small bodies, so that a few
 * large bodies cannot block other requests. Not thread-safe.
 */
public final class ByteBudget {
  /**
   * Maximum size of a small body. Small bodies may use the whole budget, including reserved shares.
   */
  public static final int SMALL_BODY_BYTES = 16_384;

  /**
   * Maximum number of bytes of a body that are in memory twice while it is written: in the write
   * queue and in the socket's send buffer, for which the system allocates twice its nominal size.
   */
  public static final int COPY_BYTES = 98_304;

  /** Memory assumed if none is configured: that of the smallest machines. */
  public static final long DEFAULT_MEMORY_BYTES = 256L << 20;

  /**
   * Fraction of the heap for bodies; the rest is for the node's tables and texts and for the copy
   * of a body whose chunks are joined.
   */
  private static final double HEAP_FRACTION = 3.0 / 8;

  /** Fraction of the process memory for bodies; the rest is for code, heap, threads and sockets. */
  private static final double MEMORY_FRACTION = 1.0 / 6;

  /** Fraction of the budget reserved for small bodies. */
  private static final double SMALL_BODY_FRACTION = 1.0 / 16;

  private final long totalBytes;
  private final long smallReserveBytes;
  private final Map<BodyPurpose, Allocation> allocations = new EnumMap<>(BodyPurpose.class);
  private Runnable releaseListener = () -> {};
  private long totalHeldBytes;
  private long peakBytes;

  /** Creates a budget with no bytes in use. */
  public ByteBudget(long totalBytes) {
    if (totalBytes <= 0) {
      throw new IllegalArgumentException("totalBytes is " + totalBytes + " but must be positive");
    }
    this.totalBytes = totalBytes;
    this.smallReserveBytes = (long) (totalBytes * SMALL_BODY_FRACTION);
    for (BodyPurpose purpose : BodyPurpose.values()) {
      allocations.put(purpose, new Allocation((long) (totalBytes * purpose.reservedShare())));
    }
  }

  /**
   * Creates the budget of a node.
   *
   * @param memoryBytes memory available to the process
   * @param heapBytes maximum heap size
   */
  public static ByteBudget of(long memoryBytes, long heapBytes) {
    return new ByteBudget(
        (long) Math.min(memoryBytes * MEMORY_FRACTION, heapBytes * HEAP_FRACTION));
  }

  /** Sets the task to run after each release. */
  public void setReleaseListener(Runnable task) {
    releaseListener = Objects.requireNonNull(task, "task");
  }

  /** Creates an empty reservation for a new body. */
  public Reservation open(BodyPurpose purpose) {
    return new Reservation(purpose);
  }

  /** Returns the size of the budget. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns the number of bytes in use. */
  public long heldBytes() {
    return totalHeldBytes;
  }

  /** Returns the number of bytes in use for one purpose. */
  public long heldBytes(BodyPurpose purpose) {
    return allocations.get(purpose).heldBytes;
  }

  /** Returns the maximum number of bytes ever in use at once. */
  public long peakBytes() {
    return peakBytes;
  }

  /** Returns a size up to which a body is certain to fit into an otherwise empty budget. */
  public long largestBodyBytes(BodyPurpose purpose) {
    long maxBytes = totalBytes - smallReserveBytes - unusedReservesOfOthers(purpose, false);
    return Math.max(SMALL_BODY_BYTES, Math.max(maxBytes / 2, maxBytes - COPY_BYTES));
  }

  private boolean fits(BodyPurpose purpose, long bodyBytes, long moreBytes) {
    long freeBytes = totalBytes - totalHeldBytes;
    if (bodyBytes > SMALL_BODY_BYTES) {
      freeBytes -= smallReserveBytes + unusedReservesOfOthers(purpose, true);
    }
    return moreBytes <= freeBytes;
  }

  private long unusedReservesOfOthers(BodyPurpose purpose, boolean nowHeld) {
    long unused = 0;
    for (BodyPurpose other : BodyPurpose.values()) {
      if (other != purpose) {
        Allocation allocation = allocations.get(other);
        unused += Math.max(0, allocation.reservedBytes - (nowHeld ? allocation.heldBytes : 0));
      }
    }
    return unused;
  }

  private void add(BodyPurpose purpose, long bytes) {
    allocations.get(purpose).heldBytes += bytes;
    totalHeldBytes += bytes;
    peakBytes = Math.max(peakBytes, totalHeldBytes);
  }

  private static long cost(long bodyBytes) {
    return bodyBytes + Math.min(bodyBytes, COPY_BYTES);
  }

  /** Reserved share and current use of one purpose. */
  private static final class Allocation {
    final long reservedBytes;
    long heldBytes;

    Allocation(long reservedBytes) {
      this.reservedBytes = reservedBytes;
    }
  }

  /** Reservation of one body in the budget. */
  public final class Reservation {
    private final BodyPurpose purpose;
    private long bodyBytes;
    private boolean released;

    private Reservation(BodyPurpose purpose) {
      this.purpose = Objects.requireNonNull(purpose, "purpose");
    }

    /**
     * Reserves more bytes for the body; returns false and reserves nothing if the budget is
     * exhausted.
     */
    public boolean tryGrow(long bytes) {
      if (bytes < 0) {
        throw new IllegalArgumentException("bytes is " + bytes + " but must not be negative");
      }
      long grown = bodyBytes + bytes;
      if (released || !fits(purpose, grown, cost(grown) - cost(bodyBytes))) {
        return false;
      }
      resizeTo(grown);
      return true;
    }

    /**
     * Reserves bytes unconditionally, even beyond the budget: for a body that is in memory already
     * or is too small to be refused.
     */
    public void forceGrow(long bytes) {
      if (!released) {
        resizeTo(bodyBytes + bytes);
      }
    }

    private void resizeTo(long grown) {
      add(purpose, cost(grown) - cost(bodyBytes));
      bodyBytes = grown;
    }

    /** Releases the reservation. Later calls do nothing. */
    public void release() {
      if (!released) {
        released = true;
        if (bodyBytes > 0) {
          add(purpose, -cost(bodyBytes));
          releaseListener.run();
        }
      }
    }
  }
}
