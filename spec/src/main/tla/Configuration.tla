--------------------------- MODULE Configuration ---------------------------
(* Operators race; the log decides. Nodes lose their memory; while the log is *)
(* down they take the image of a peer, if it is newer than their own.         *)
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS Nodes, Operators, MaxLog, MaxCrashes, Mutation

VARIABLES log, wire, read, inForce, told, proposed, crashes, down, reverted

vars == <<log, wire, read, inForce, told, proposed, crashes, down, reverted>>

(* A record is an operator's application with the base that it replaces. *)
RECURSIVE Accepted(_)
Accepted(n) ==
  IF n = 0 THEN <<>>
  ELSE LET before == Accepted(n - 1) IN
       IF log[n].base = Len(before) /\ \A i \in DOMAIN before : before[i] # log[n].op
       THEN Append(before, log[n].op) ELSE before

Propose(n, o) ==
  /\ proposed[o] = "no" /\ ~down
  /\ proposed' = [proposed EXCEPT ![o] = n]
  /\ wire' = wire \cup {[op |-> o, base |-> Len(Accepted(read[n]))]}
  /\ UNCHANGED <<log, read, inForce, told, crashes, down, reverted>>

Land(r) ==
  /\ ~down /\ Len(log) < MaxLog
  /\ log' = Append(log, r)
  /\ UNCHANGED <<wire, read, inForce, told, proposed, crashes, down, reverted>>

PutInForce(n, revision) ==
  /\ inForce' = [inForce EXCEPT ![n] = revision]
  /\ reverted' = (reverted \/ revision < inForce[n])

Max(a, b) == IF a > b THEN a ELSE b

Read(n) ==
  /\ ~down /\ read[n] < Len(log)
  /\ read' = [read EXCEPT ![n] = @ + 1]
  /\ PutInForce(n, Max(inForce[n], Len(Accepted(read[n] + 1))))
  /\ UNCHANGED <<log, wire, told, proposed, crashes, down>>

(* The operator hears the outcome once the node has read the record back. *)
Tell(o) ==
  LET n == proposed[o] IN
  /\ n \in Nodes /\ told[o] = "nothing"
  /\ \/ \E i \in 1..read[n] : log[i].op = o
     \/ Mutation = "tell-at-append" /\ \E i \in DOMAIN log : log[i].op = o
  /\ told' = [told EXCEPT ![o] =
       IF Mutation = "tell-at-append" \/ o \in {Accepted(read[n])[i] : i \in DOMAIN Accepted(read[n])}
       THEN "accepted" ELSE "conflict"]
  /\ UNCHANGED <<log, wire, read, inForce, proposed, crashes, down, reverted>>

Crash(n) ==
  /\ crashes < MaxCrashes
  /\ crashes' = crashes + 1
  /\ read' = [read EXCEPT ![n] = 0]
  /\ inForce' = [inForce EXCEPT ![n] = 0]
  /\ proposed' = [o \in Operators |-> IF proposed[o] = n THEN "lost" ELSE proposed[o]]
  /\ UNCHANGED <<log, wire, told, down, reverted>>

AskPeer(n, m) ==
  /\ down
  /\ n # m
  /\ \/ inForce[m] > inForce[n]
     \/ Mutation = "take-any-image" /\ inForce[m] # inForce[n]
  /\ PutInForce(n, inForce[m])
  /\ UNCHANGED <<log, wire, read, told, proposed, crashes, down>>

Toggle == down' = ~down /\ UNCHANGED <<log, wire, read, inForce, told, proposed, crashes, reverted>>

Init ==
  /\ log = <<>> /\ wire = {} /\ crashes = 0 /\ down = FALSE /\ reverted = FALSE
  /\ read = [n \in Nodes |-> 0]
  /\ inForce = [n \in Nodes |-> 0]
  /\ told = [o \in Operators |-> "nothing"]
  /\ proposed = [o \in Operators |-> "no"]

Next ==
  \/ \E n \in Nodes : Read(n) \/ Crash(n) \/ \E m \in Nodes : AskPeer(n, m)
  \/ \E n \in Nodes, o \in Operators : Propose(n, o)
  \/ \E o \in Operators : Tell(o)
  \/ \E r \in wire : Land(r)
  \/ Toggle

Spec == Init /\ [][Next]_vars
FairSpec == Spec /\ \A n \in Nodes : SF_vars(Read(n))
            /\ WF_vars(Toggle)

RevisionMonotonic == ~reverted
(* Who was told "accepted" is in the log for good; at most one for each base. *)
AcceptedStands == \A o \in Operators :
  told[o] = "accepted" => o \in {Accepted(Len(log))[i] : i \in DOMAIN Accepted(Len(log))}
(* Every accepted revision reaches every node. *)
ReachesEveryNode == \A k \in 1..MaxLog, n \in Nodes :
  [](Len(Accepted(Len(log))) >= k => <>(inForce[n] >= k))
=============================================================================
