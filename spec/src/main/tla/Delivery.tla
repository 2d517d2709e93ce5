------------------------------ MODULE Delivery ------------------------------
(* Delivery of one step of one shard. The lease lives in the shard's stream.  *)
(* Any node may claim at any moment: the clocks of leases are left out on     *)
(* purpose, so what is proved here holds also when they fail (a paused holder *)
(* that wakes, drift). The log may land a sent record late, twice or never    *)
(* (its writer then repeats it under the same identity). Nodes lose their     *)
(* memory in a crash. Engines swap weights in mid-generation, or fail to.     *)
EXTENDS Naturals, Sequences, FiniteSets, TLC

CONSTANTS Nodes, Slots, Bound, MaxVersion, MaxEpoch, MaxCrashes, MaxLog, Mutation

VARIABLES log,      \* the stream: records in order
          wire,     \* records that were sent and may land, also again
          view,     \* node -> fold of the records that it has read
          whole,    \* fold of the whole log, for the invariants
          sent,     \* node -> identity number of its batch in flight, 0 if none
          seqNo,    \* node -> last identity number used; survives as the incarnation does
          work,     \* node -> slot -> what is held: nothing, a running attempt or a sample
          engine,   \* version that the engine serves
          trainer,  \* version that the trainer is at
          kept,     \* samples that the trainer kept, in order: its cursor is the length
          crashes

vars == <<log, wire, view, whole, sent, seqNo, work, engine, trainer, kept, crashes>>

Idle == [phase |-> "idle"]
Range(f) == {f[i] : i \in DOMAIN f}

(* ---- the fold, as RunState and StepState do it ---- *)
Start == [count |-> 0, epoch |-> 0, owner |-> "none", bound |-> <<>>, seen |-> {}, effects |-> <<>>]

SlotsOf(bound) == {bound[i].slot : i \in DOMAIN bound}
PositionOf(bound, s) == CHOOSE i \in DOMAIN bound : bound[i].slot = s

CommitEffect(st, r) ==
  IF r.slot \in SlotsOf(st.bound) /\ Mutation # "rebind"
  THEN IF r.pos = PositionOf(st.bound, r.slot) /\ r.att > st.bound[r.pos].att
       THEN [st EXCEPT !.bound[r.pos].att = r.att, !.effects = Append(@, r.epoch)]
       ELSE st
  ELSE IF r.pos = Len(st.bound) + 1
       THEN [st EXCEPT !.bound = Append(@, [slot |-> r.slot, att |-> r.att]),
                       !.effects = Append(@, r.epoch)]
       ELSE st

Step(st, r) ==
  IF <<r.node, r.id>> \in st.seen THEN [st EXCEPT !.count = @ + 1]
  ELSE LET s2 == [st EXCEPT !.count = @ + 1, !.seen = @ \cup {<<r.node, r.id>>}] IN
    IF r.type = "claim"
    THEN IF r.epoch = st.epoch + 1
         THEN [s2 EXCEPT !.epoch = r.epoch, !.owner = r.node, !.effects = Append(@, r.epoch)]
         ELSE s2
    ELSE IF (r.epoch = st.epoch /\ r.node = st.owner) \/ Mutation = "no-fence"
         THEN CommitEffect(s2, r)
         ELSE s2

View(n) == view[n]

(* ---- nodes ---- *)
Send(n, r) ==
  /\ sent[n] = 0
  /\ seqNo' = [seqNo EXCEPT ![n] = @ + 1]
  /\ sent' = [sent EXCEPT ![n] = seqNo[n] + 1]
  /\ wire' = wire \cup {[r EXCEPT !.id = seqNo[n] + 1]}

Claim(n) ==
  /\ View(n).epoch < MaxEpoch
  /\ View(n).owner # n
  /\ Send(n, [type |-> "claim", node |-> n, id |-> 0, epoch |-> View(n).epoch + 1])
  /\ UNCHANGED <<log, view, whole, work, engine, trainer, kept, crashes>>

Land(r) ==
  /\ Len(log) < MaxLog
  /\ log' = Append(log, r)
  /\ whole' = Step(whole, r)
  /\ UNCHANGED <<wire, view, sent, seqNo, work, engine, trainer, kept, crashes>>

Read(n) ==
  /\ view[n].count < Len(log)
  /\ LET r == log[view[n].count + 1] IN
       /\ view' = [view EXCEPT ![n] = Step(@, r)]
       /\ sent' = [sent EXCEPT ![n] = IF r.node = n /\ r.id = @ THEN 0 ELSE @]
  /\ UNCHANGED <<log, wire, whole, seqNo, work, engine, trainer, kept, crashes>>

NextAttempt(n, s) ==
  IF s \in SlotsOf(View(n).bound) THEN View(n).bound[PositionOf(View(n).bound, s)].att + 1 ELSE 1

Begin(n, s) ==
  /\ View(n).owner = n
  /\ work[n][s].phase = "idle"
  /\ work' = [work EXCEPT ![n][s] =
       [phase |-> "running", att |-> NextAttempt(n, s), truth |-> {engine}, begunOn |-> engine]]
  /\ UNCHANGED <<log, wire, view, whole, sent, seqNo, engine, trainer, kept, crashes>>

Finish(n, s) ==
  /\ work[n][s].phase = "running"
  /\ LET truth == work[n][s].truth \cup {engine}
         names == IF Mutation = "version-at-begin" THEN {work[n][s].begunOn} ELSE truth
     IN work' = [work EXCEPT ![n][s] =
          [phase |-> "ready", att |-> work[n][s].att, truth |-> truth, names |-> names]]
  /\ UNCHANGED <<log, wire, view, whole, sent, seqNo, engine, trainer, kept, crashes>>

Oldest(names) == CHOOSE v \in names : \A w \in names : v <= w

Commit(n, s) ==
  /\ View(n).owner = n
  /\ work[n][s].phase = "ready"
  /\ trainer - Oldest(work[n][s].names) <= Bound
  /\ LET bound == View(n).bound
         pos == IF s \in SlotsOf(bound) /\ Mutation # "rebind" THEN PositionOf(bound, s) ELSE Len(bound) + 1
     IN Send(n, [type |-> "commit", node |-> n, id |-> 0, epoch |-> View(n).epoch,
                 pos |-> pos, slot |-> s, att |-> work[n][s].att])
  /\ work' = [work EXCEPT ![n][s].phase = "committed"]
  /\ UNCHANGED <<log, view, whole, engine, trainer, kept, crashes>>

(* The trainer pulls from any node that holds content, the owner or not. *)
HandOver(n) ==
  LET pos == Len(kept) + 1
      bound == View(n).bound
  IN /\ \/ pos \in DOMAIN bound
        \/ Mutation = "before-read-back"
     /\ \E s \in Slots :
          /\ work[n][s].phase = "committed"
          /\ IF Mutation = "before-read-back" /\ pos \notin DOMAIN bound
             THEN sent[n] # 0
             ELSE bound[pos].slot = s /\ bound[pos].att = work[n][s].att
          /\ \/ trainer - Oldest(work[n][s].names) <= Bound
             \/ Mutation = "no-check-at-hand-over"
          /\ kept' = Append(kept, [slot |-> s, names |-> work[n][s].names, truth |-> work[n][s].truth,
                                   age |-> trainer - Oldest(work[n][s].names)])
     /\ UNCHANGED <<log, wire, view, whole, sent, seqNo, work, engine, trainer, crashes>>

(* What grew too old, or was beaten by a successor, is thrown away. *)
Discard(n, s) ==
  /\ work[n][s].phase \in {"ready", "committed"}
  /\ sent[n] = 0
  /\ \/ trainer - Oldest(work[n][s].names) > Bound
     \/ /\ work[n][s].phase = "committed"
        /\ ~ \E i \in DOMAIN View(n).bound :
               View(n).bound[i].slot = s /\ View(n).bound[i].att = work[n][s].att
  /\ work' = [work EXCEPT ![n][s] = Idle]
  /\ UNCHANGED <<log, wire, view, whole, sent, seqNo, engine, trainer, kept, crashes>>

Crash(n) ==
  /\ crashes < MaxCrashes
  /\ crashes' = crashes + 1
  /\ work' = [work EXCEPT ![n] = [s \in Slots |-> Idle]]
  /\ view' = [view EXCEPT ![n] = Start]
  /\ sent' = [sent EXCEPT ![n] = 0]
  /\ UNCHANGED <<log, wire, whole, seqNo, engine, trainer, kept>>

Publish ==
  /\ trainer < MaxVersion
  /\ trainer' = trainer + 1
  /\ UNCHANGED <<log, wire, view, whole, sent, seqNo, work, engine, kept, crashes>>

(* A swap may happen at any time after the version is out, or fail and not happen. *)
Swap ==
  /\ engine < trainer
  /\ engine' = trainer
  /\ UNCHANGED <<log, wire, view, whole, sent, seqNo, work, trainer, kept, crashes>>

Init ==
  /\ log = <<>> /\ wire = {} /\ kept = <<>> /\ crashes = 0 /\ engine = 0 /\ trainer = 0
  /\ view = [n \in Nodes |-> Start]
  /\ whole = Start
  /\ sent = [n \in Nodes |-> 0]
  /\ seqNo = [n \in Nodes |-> 0]
  /\ work = [n \in Nodes |-> [s \in Slots |-> Idle]]

Next ==
  \/ \E n \in Nodes : Claim(n) \/ Read(n) \/ HandOver(n) \/ Crash(n)
  \/ \E n \in Nodes, s \in Slots : Begin(n, s) \/ Finish(n, s) \/ Commit(n, s) \/ Discard(n, s)
  \/ \E r \in wire : Land(r)
  \/ Publish \/ Swap

Spec == Init /\ [][Next]_vars

ExactlyOnce == \A i, j \in DOMAIN kept : kept[i].slot = kept[j].slot => i = j
WithinStalenessBound == \A i \in DOMAIN kept : kept[i].age <= Bound
VersionsTruthful == \A i \in DOMAIN kept : kept[i].names = kept[i].truth
(* Records take effect only under the newest epoch. *)
SingleEffectiveOwner ==
  LET e == whole.effects IN \A i \in 1..(Len(e) - 1) : e[i] <= e[i + 1]

(* Nodes, slots and tries are interchangeable. *)
Symmetry == Permutations(Nodes) \cup Permutations(Slots)
=============================================================================
