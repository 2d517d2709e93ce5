package org.passhaven.node.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.passhaven.core.admission.AdmissionDecision;
import org.passhaven.core.admission.AdmissionDecision.Reject;
import org.passhaven.core.admission.AdmissionRequest;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.admission.ServiceAdmission;
import org.passhaven.core.admission.ServiceAdmission.WaitingDecision;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.route.Route;
import org.passhaven.spi.BackEndService.Call;

/**
 * Queues, sends and rejects requests as the {@link ServiceAdmission} of their service decides. Not
 * thread-safe: used on the node's event loop.
 */
final class RequestAdmission {
  private final GatewayContext context;
  private final PlatformDirectory directory;
  private final Function<String, List<ServerEntry>> candidates;
  private final AdmissionLogger log = new AdmissionLogger();
  private final Map<String, Service> services = new HashMap<>();
  private long nextId;
  private Optional<Shutdown> shutdown = Optional.empty();

  /** A planned stop of this node, in monotonic milliseconds. */
  private record Shutdown(long beginMillis, long endMillis) {}

  /**
   * Creates the admission control.
   *
   * @param candidates returns the servers of a service that this node may send to now
   */
  RequestAdmission(
      GatewayContext context,
      PlatformDirectory directory,
      Function<String, List<ServerEntry>> candidates) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.candidates = Objects.requireNonNull(candidates, "candidates");
    directory.addListener(this::onServersChanged);
  }

  /**
   * Receives the decision on a request. Exactly one method is called, once, unless the slot is
   * released before.
   */
  interface SlotListener {
    /** Called when the request may be sent. */
    void onAdmitted();

    /** Called when the request must not be sent, since it can't be served in time. */
    void onRejected(Reject decision);
  }

  /** Creates the slot of a request, which {@link Slot#acquire} then requests. */
  Slot newSlot(Route route, Call call, String service, Source source, long deadlineMillis) {
    int priority = directory.routes().tenants().priorityOf(call.tenant()).orElse(route.priority());
    AdmissionRequest request =
        new AdmissionRequest(
            nextId++, service, route.name(), call.tenant(), source, priority, deadlineMillis);
    return new Slot(services.computeIfAbsent(service, Service::new), request, call.id());
  }

  private void onServersChanged() {
    knownServices().forEach(Service::updateServers);
  }

  /** Returns a copy, since a listener may add a service during the iteration. */
  private List<Service> knownServices() {
    return List.copyOf(services.values());
  }

  /**
   * Begins a planned stop: queued requests are sent or rejected soon, and callers' requests that
   * might outlast the node are rejected.
   *
   * @param endMillis monotonic time at which the node cuts what is in progress
   */
  void drain(long endMillis) {
    shutdown = Optional.of(new Shutdown(context.nowMillis(), endMillis));
    services.values().forEach(Service::beginShutdown);
  }

  /** Rejects all queued requests, at the end of a planned stop. */
  void close() {
    knownServices()
        .forEach(service -> service.apply(service.admission.rejectAllWaiting(context.nowMillis())));
  }

  /** The slot of one request at a service; must be released when the request is over. */
  final class Slot {
    private final Service service;
    private final AdmissionRequest request;
    private final String id;
    private SlotListener listener;
    private Reject rejected;

    private Slot(Service service, AdmissionRequest request, String id) {
      this.service = service;
      this.request = request;
      this.id = id;
    }

    /** Requests the slot; the decision may come later. */
    void acquire(SlotListener slotListener) {
      listener = slotListener;
      service.slots.put(request.id(), this);
      AdmissionDecision decision = service.admission.decide(request, context.nowMillis());
      if (decision instanceof AdmissionDecision.Wait) {
        onQueued();
      } else {
        apply(decision);
      }
    }

    private void onQueued() {
      long now = context.nowMillis();
      context.metrics().requestsWaited.increment();
      double waitMillis = service.admission.expectedWaitMillis(request, now);
      log.onQueued(id, request, service.admission.load(now), waitMillis);
      service.dispatch();
      service.sweepLater();
    }

    private void apply(AdmissionDecision decision) {
      if (decision instanceof Reject reject) {
        rejected = reject;
        long now = context.nowMillis();
        context.metrics().onRejected(reject.reason());
        log.onRejected(id, request, service.admission.load(now), reject, now);
        listener.onRejected(reject);
      } else {
        listener.onAdmitted();
      }
    }

    /** Records a successful answer and its latency. */
    void onAnswer(long tookMillis) {
      service.admission.onResponse(request, tookMillis, context.nowMillis());
    }

    /** Records that a server refused the request because it is full. */
    void onFull() {
      service.admission.onServerFull(context.nowMillis());
    }

    /** Returns the time after which the caller may retry a request that was not run. */
    long retryAfterMillis() {
      return rejected != null
          ? rejected.retryAfterMillis()
          : service.admission.retryAfterMillis(request, context.nowMillis());
    }

    /** Returns the time after which to retry a request if nothing tells when it can be run. */
    long retryAfterWithoutKnownEndMillis() {
      return service.admission.retryAfterWithoutKnownEndMillis(request, context.nowMillis());
    }

    /** Releases the slot when the request is over or its caller has disconnected. */
    void release() {
      if (service.slots.remove(request.id()) != null) {
        service.admission.onEnded(request);
        service.dispatch();
      }
    }
  }

  /** The admission control of one service, and the slots of its queued and sent requests. */
  private final class Service {
    private final String name;
    private final ServiceAdmission admission =
        new ServiceAdmission(context.randomBelow(), context.nowMillis());
    private final Map<Long, Slot> slots = new HashMap<>();
    private boolean isSweepScheduled;
    private boolean isDispatching;
    private boolean isDispatchDue;

    Service(String name) {
      this.name = name;
      context
          .metrics()
          .registerAdmission(name, this, each -> each.admission.load(context.nowMillis()));
      beginShutdown();
      updateServers();
    }

    /** Tells the admission of the node's planned stop, if one has begun. */
    void beginShutdown() {
      shutdown.ifPresent(stop -> admission.beginShutdown(stop.beginMillis(), stop.endMillis()));
    }

    void updateServers() {
      List<ServerEntry> servers = candidates.apply(name);
      int totalSlots = servers.stream().mapToInt(ServerEntry::slots).sum();
      admission.onServers(servers.size(), totalSlots, context.nowMillis());
      dispatch();
    }

    /**
     * Applies the pending decisions. A request may end while it is being sent and call this method
     * again; the running loop then applies the new decisions.
     */
    void dispatch() {
      isDispatchDue = true;
      if (isDispatching) {
        return;
      }
      isDispatching = true;
      try {
        while (isDispatchDue) {
          isDispatchDue = false;
          apply(admission.decideWaiting(context.nowMillis()));
        }
      } finally {
        isDispatching = false;
      }
    }

    void apply(List<WaitingDecision> changes) {
      for (WaitingDecision change : changes) {
        Slot slot = slots.get(change.request().id());
        if (slot != null) {
          slot.apply(change.decision());
        }
      }
    }

    void sweepLater() {
      if (!isSweepScheduled && admission.load(context.nowMillis()).waiting() > 0) {
        isSweepScheduled = true;
        context
            .timers()
            .after(
                ServiceAdmission.SWEEP_INTERVAL_MILLIS,
                () -> {
                  isSweepScheduled = false;
                  dispatch();
                  sweepLater();
                });
      }
    }
  }
}
