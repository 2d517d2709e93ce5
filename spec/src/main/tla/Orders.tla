------------------------------ MODULE Orders ------------------------------
(* Who may order servers: DutyLease. The first claim to follow an epoch in  *)
(* the log wins; how epochs are counted is in ForgetfulLog, here each is one *)
(* more than the one before. A holder orders only for                        *)
(* Valid from the moment at which it sent an intent that it read back under  *)
(* its epoch. A successor waits Valid + HandOver from when it read the last  *)
(* record of another node. Records land late or never; nodes read late and   *)
(* act late, so pauses are included.                                         *)
EXTENDS Integers, Sequences, FiniteSets

CONSTANTS Nodes, First, Valid, HandOver, MaxTime, MaxLog, MaxWire, Mutation

VARIABLES now, log, wire, read, epoch, holder, validUntil, notBefore, lastOther, last, broken

vars == <<now, log, wire, read, epoch, holder, validUntil, notBefore, lastOther, last, broken>>

None == "none"
Never == 0 - Valid - HandOver

Claim(n) == [type |-> "claim", epoch |-> epoch[n] + 1, node |-> n, sentAt |-> 0]
Intent(n) == [type |-> "intent", epoch |-> epoch[n], node |-> n, sentAt |-> now]

Tick ==
  /\ now < MaxTime
  /\ now' = now + 1
  /\ UNCHANGED <<log, wire, read, epoch, holder, validUntil, notBefore, lastOther, last, broken>>

Send(n) ==
  /\ Cardinality(wire) < MaxWire
  /\ wire' = wire \cup {IF holder[n] = n THEN Intent(n) ELSE Claim(n)}
  /\ validUntil' = IF Mutation = "no-read-back" /\ holder[n] = n
                   THEN [validUntil EXCEPT ![n] = now + Valid] ELSE validUntil
  /\ UNCHANGED <<now, log, read, epoch, holder, notBefore, lastOther, last, broken>>

Land(r) ==
  /\ Len(log) < MaxLog
  /\ log' = Append(log, r)
  /\ wire' = wire \ {r}
  /\ UNCHANGED <<now, read, epoch, holder, validUntil, notBefore, lastOther, last, broken>>

ReadClaim(n, r) ==
  IF r.epoch # epoch[n] + 1
  THEN UNCHANGED <<epoch, holder, validUntil, notBefore, lastOther>>
  ELSE /\ epoch' = [epoch EXCEPT ![n] = r.epoch]
       /\ holder' = [holder EXCEPT ![n] = r.node]
       /\ validUntil' = [validUntil EXCEPT ![n] = Never]
       /\ lastOther' = [lastOther EXCEPT ![n] = IF r.node = n THEN @ ELSE now]
       /\ notBefore' = [notBefore EXCEPT ![n] =
            IF r.node # n THEN @
            ELSE IF Mutation = "no-wait" THEN Never
            ELSE lastOther[n] + Valid + HandOver]

ReadIntent(n, r) ==
  IF r.epoch # epoch[n] \/ r.node # holder[n]
  THEN UNCHANGED <<epoch, holder, validUntil, notBefore, lastOther>>
  ELSE /\ validUntil' = [validUntil EXCEPT ![n] =
            IF r.node # n THEN @
            ELSE IF Mutation = "valid-from-reading" THEN now + Valid
            ELSE IF r.sentAt + Valid > @ THEN r.sentAt + Valid ELSE @]
       /\ lastOther' = [lastOther EXCEPT ![n] = IF r.node = n THEN @ ELSE now]
       /\ UNCHANGED <<epoch, holder, notBefore>>

Read(n) ==
  /\ read[n] < Len(log)
  /\ read' = [read EXCEPT ![n] = @ + 1]
  /\ LET r == log[read[n] + 1]
     IN IF r.type = "claim" THEN ReadClaim(n, r) ELSE ReadIntent(n, r)
  /\ UNCHANGED <<now, log, wire, last, broken>>

Order(n) ==
  /\ holder[n] = n
  /\ now >= notBefore[n]
  /\ now < validUntil[n]
  /\ last' = [node |-> n, at |-> now, fence |-> epoch[n]]
  /\ broken' = (broken \/ (last.node \notin {None, n}
       /\ (now - last.at < HandOver \/ epoch[n] <= last.fence)))
  /\ UNCHANGED <<now, log, wire, read, epoch, holder, validUntil, notBefore, lastOther>>

(* All have just read the claim of the first holder. *)
Init ==
  /\ now = 0 /\ log = <<>> /\ wire = {}
  /\ read = [n \in Nodes |-> 0]
  /\ epoch = [n \in Nodes |-> 1]
  /\ holder = [n \in Nodes |-> First]
  /\ validUntil = [n \in Nodes |-> Never]
  /\ notBefore = [n \in Nodes |-> Never]
  /\ lastOther = [n \in Nodes |-> IF n = First THEN Never ELSE 0]
  /\ last = [node |-> None, at |-> Never, fence |-> 0]
  /\ broken = FALSE

Next ==
  \/ Tick
  \/ \E n \in Nodes : Send(n) \/ Read(n) \/ Order(n)
  \/ \E r \in wire : Land(r)

Spec == Init /\ [][Next]_vars

OrdersApart == ~broken
=============================================================================
