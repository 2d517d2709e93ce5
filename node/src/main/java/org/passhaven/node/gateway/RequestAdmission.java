package org.passhaven.node.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import org.passhaven.core.admission.AdmissionRequest;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.admission.AdmissionVerdict;
import org.passhaven.core.admission.AdmissionVerdict.Reject;
import org.passhaven.core.admission.ServiceAdmission;
import org.passhaven.core.admission.ServiceAdmission.Change;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.route.Route;
import org.passhaven.spi.BackEndService.Call;

/** Carries out the decisions of the {@link ServiceAdmission} of each service at this node. */
final class RequestAdmission {
  private final GatewayContext context;
  private final Directory directory;
  private final Function<String, List<ServerEntry>> candidates;
  private final AdmissionLog log = new AdmissionLog();
  private final Map<String, Service> services = new HashMap<>();
  private long nextId;
  private boolean stopping;

  /**
   * Creates the admission.
   *
   * @param candidates servers of a service that this node may send to now
   */
  RequestAdmission(
      GatewayContext context, Directory directory, Function<String, List<ServerEntry>> candidates) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.candidates = Objects.requireNonNull(candidates, "candidates");
    directory.addListener(this::onServersChanged);
  }

  /**
   * Is told whether a request has its place. One method is called, once, unless the place is
   * released before.
   */
  interface PlaceListener {
    /** The request may be sent. */
    void onSend();

    /** The request can't be served in time; it must not be sent. */
    void onReject(Reject verdict);
  }

  /** Creates the place of a request, for which {@link Place#ask} then asks. */
  Place place(Route route, Call call, String service, Source source, long deadlineMillis) {
    int priority = directory.routes().tenants().priorityOf(call.tenant()).orElse(route.priority());
    AdmissionRequest request =
        new AdmissionRequest(
            nextId++, service, route.name(), call.tenant(), source, priority, deadlineMillis);
    return new Place(services.computeIfAbsent(service, Service::new), request, call.id());
  }

  private void onServersChanged() {
    known().forEach(Service::onServers);
  }

  /** A copy, since a listener may ask for a service that is not known yet. */
  private List<Service> known() {
    return List.copyOf(services.values());
  }

  /** This node begins to stop: waiting requests are sent or rejected soon. */
  void stop() {
    stopping = true;
    services.values().forEach(service -> service.admission.stop(context.now()));
  }

  /** This node ends: requests that still wait are rejected. */
  void end() {
    known().forEach(service -> service.apply(service.admission.end(context.now())));
  }

  /** One request's place at a service; to be released when the request is over. */
  final class Place {
    private final Service service;
    private final AdmissionRequest request;
    private final String id;
    private PlaceListener listener;
    private Reject rejected;

    private Place(Service service, AdmissionRequest request, String id) {
      this.service = service;
      this.request = request;
      this.id = id;
    }

    /** Asks whether the request may be sent, now or soon. */
    void ask(PlaceListener placeListener) {
      listener = placeListener;
      service.places.put(request.id(), this);
      AdmissionVerdict verdict = service.admission.offer(request, context.now());
      if (verdict instanceof AdmissionVerdict.Wait) {
        onWaits();
      } else {
        apply(verdict);
      }
    }

    private void onWaits() {
      long now = context.now();
      context.metrics().requestsWaited.increment();
      double waitMillis = service.admission.expectedWaitMillis(request, now);
      log.onWaits(id, request, service.admission.load(now), waitMillis);
      service.dispatch();
      service.sweepLater();
    }

    private void apply(AdmissionVerdict verdict) {
      if (verdict instanceof Reject reject) {
        rejected = reject;
        long now = context.now();
        context.metrics().onRejected(reject.reason());
        log.onRejected(id, request, service.admission.load(now), reject, now);
        listener.onReject(reject);
      } else {
        listener.onSend();
      }
    }

    /** A server has answered the request with success. */
    void onAnswer(long tookMillis) {
      service.admission.onAnswer(request, tookMillis, context.now());
    }

    /** A server refused the request since it is full. */
    void onFull() {
      service.admission.onFull(context.now());
    }

    /** Time after which the caller may retry if the request was not run. */
    long retryAfterMillis() {
      return rejected != null
          ? rejected.retryAfterMillis()
          : service.admission.retryAfterMillis(request, context.now());
    }

    /** The request is over, or its caller has left. */
    void release() {
      if (service.places.remove(request.id()) != null) {
        service.admission.onEnded(request);
        service.dispatch();
      }
    }
  }

  /** The admission to one service, and the places of requests that wait or were sent. */
  private final class Service {
    private final String name;
    private final ServiceAdmission admission =
        new ServiceAdmission(context.randomBelow(), context.now());
    private final Map<Long, Place> places = new HashMap<>();
    private boolean isSweeping;
    private boolean isDispatching;
    private boolean isDispatchDue;

    Service(String name) {
      this.name = name;
      context.metrics().showAdmission(name, this, each -> each.admission.load(context.now()));
      if (stopping) {
        admission.stop(context.now());
      }
      onServers();
    }

    void onServers() {
      List<ServerEntry> servers = candidates.apply(name);
      int slots = servers.stream().mapToInt(ServerEntry::slots).sum();
      admission.onServers(servers.size(), slots, context.now());
      dispatch();
    }

    /**
     * Applies the admission's decisions. A request that is sent may end at once and cause further
     * ones; these are applied by the loop that runs already.
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
          apply(admission.next(context.now()));
        }
      } finally {
        isDispatching = false;
      }
    }

    void apply(List<Change> changes) {
      for (Change change : changes) {
        Place place = places.get(change.request().id());
        if (place != null) {
          place.apply(change.verdict());
        }
      }
    }

    void sweepLater() {
      if (!isSweeping && admission.load(context.now()).waiting() > 0) {
        isSweeping = true;
        context
            .timers()
            .after(
                ServiceAdmission.SWEEP_MILLIS,
                () -> {
                  isSweeping = false;
                  dispatch();
                  sweepLater();
                });
      }
    }
  }
}
