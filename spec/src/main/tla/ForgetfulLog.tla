--------------------------- MODULE ForgetfulLog ---------------------------
(* The order lease where the log drops records by age: DutyLease. Nodes     *)
(* start when claims are gone, and miss records while they pause. A reader   *)
(* that may have missed a change of hands is not sure: it counts every       *)
(* record as the holder's. A claim's epoch is the offset to which its writer *)
(* had read, and one. The times that keep orders apart are in Orders; here   *)
(* it is checked that whoever takes itself for the holder has a higher epoch *)
(* than all who did so before it in the log.                                 *)
EXTENDS Integers, Sequences, FiniteSets

CONSTANTS Nodes, MaxLog, MaxWire, MaxStarts, Mutation

VARIABLES log, first, wire, starts, node, wins

vars == <<log, first, wire, starts, node, wins>>

None == "none"

(* What one start of a node knows; an offset counts from zero. *)
Fresh(start, length) ==
  [start |-> start, mustRead |-> length, read |-> 0, epoch |-> 0, holder |-> <<None, 0>>,
   sure |-> TRUE, newest |-> 0 - 1, claimed |-> 0]

Self(n) == <<n, node[n].start>>

IsHolder(n) == node[n].holder = Self(n) /\ node[n].epoch = node[n].claimed

(* A record that is under way was sent after those that are dropped had landed. *)
Drop ==
  /\ first < Len(log)
  /\ \A r \in wire : r.sentAt > first
  /\ first' = first + 1
  /\ UNCHANGED <<log, wire, starts, node, wins>>

Restart(n) ==
  /\ starts < MaxStarts
  /\ starts' = starts + 1
  /\ node' = [node EXCEPT ![n] = Fresh(@.start + 1, Len(log))]
  /\ UNCHANGED <<log, first, wire, wins>>

ClaimedEpoch(n) ==
  IF Mutation = "next-epoch" THEN node[n].epoch + 1 ELSE node[n].read + 1

Send(n) ==
  /\ Cardinality(wire) < MaxWire
  /\ node[n].read >= node[n].mustRead
  /\ IF IsHolder(n)
     THEN /\ wire' = wire \cup {[type |-> "intent", epoch |-> node[n].epoch, by |-> Self(n),
                                 readTo |-> 0, sentAt |-> Len(log)]}
          /\ UNCHANGED node
     ELSE /\ wire' = wire \cup {[type |-> "claim", epoch |-> ClaimedEpoch(n), by |-> Self(n),
                                 readTo |-> node[n].read, sentAt |-> Len(log)]}
          /\ node' = [node EXCEPT ![n].claimed = ClaimedEpoch(n)]
  /\ UNCHANGED <<log, first, starts, wins>>

Land(r) ==
  /\ Len(log) < MaxLog
  /\ log' = Append(log, r)
  /\ wire' = wire \ {r}
  /\ UNCHANGED <<first, starts, node, wins>>

Gap(n) ==
  /\ node[n].read < first
  /\ node' = [node EXCEPT ![n] =
       IF Mutation = "deaf-to-gap" THEN [@ EXCEPT !.read = first]
       ELSE [Fresh(@.start, @.mustRead) EXCEPT !.read = first, !.sure = FALSE]]
  /\ UNCHANGED <<log, first, wire, starts, wins>>

AfterClaim(k, r) ==
  LET isValid == r.epoch > k.epoch /\ k.newest < r.readTo
  IN IF isValid
     THEN [k EXCEPT !.epoch = r.epoch, !.holder = r.by, !.newest = k.read]
     ELSE IF k.sure THEN k ELSE [k EXCEPT !.newest = k.read]

AfterIntent(k, r) ==
  IF r.epoch > k.epoch \/ (r.epoch = k.epoch /\ ~k.sure)
  THEN [k EXCEPT !.epoch = r.epoch, !.holder = r.by, !.sure = TRUE, !.newest = k.read]
  ELSE IF ~k.sure THEN [k EXCEPT !.holder = r.by, !.newest = k.read]
  ELSE IF r.epoch = k.epoch /\ r.by = k.holder THEN [k EXCEPT !.newest = k.read]
  ELSE k

Read(n) ==
  /\ node[n].read >= first
  /\ node[n].read < Len(log)
  /\ LET r == log[node[n].read + 1]
         k == IF r.type = "claim" THEN AfterClaim(node[n], r) ELSE AfterIntent(node[n], r)
         isOwnWin == r.type = "claim" /\ r.by = Self(n) /\ node[n].epoch < k.epoch
                     /\ k.epoch = k.claimed
     IN /\ node' = [node EXCEPT ![n] = [k EXCEPT !.read = @ + 1]]
        /\ wins' = IF isOwnWin THEN wins \cup {[epoch |-> r.epoch, at |-> node[n].read]} ELSE wins
  /\ UNCHANGED <<log, first, wire, starts>>

Init ==
  /\ log = <<>> /\ first = 0 /\ wire = {} /\ starts = 0 /\ wins = {}
  /\ node = [n \in Nodes |-> Fresh(0, 0)]

Next ==
  \/ Drop
  \/ \E n \in Nodes : Restart(n) \/ Send(n) \/ Gap(n) \/ Read(n)
  \/ \E r \in wire : Land(r)

Spec == Init /\ [][Next]_vars

EpochsRise == \A a, b \in wins : a.at < b.at => a.epoch < b.epoch
=============================================================================
