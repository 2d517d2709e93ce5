------------------------------ MODULE Leaving ------------------------------
(* A back end leaves. A node learns it from the platform's list, which lags,  *)
(* and asks for the list once a period. A node may be paused at any time; it   *)
(* sends nothing on a list that it asked for longer ago than MaxAge, by its    *)
(* own clock, which runs on in a pause.                                        *)
EXTENDS Naturals

CONSTANTS Lag, Period, MaxAge, MaxTime, Limit, Mutation

VARIABLES now, leftAt, listedSince, askedAt, knows, paused, lastWork

vars == <<now, leftAt, listedSince, askedAt, knows, paused, lastWork>>

Never == MaxTime + 1

Tick ==
  /\ now < MaxTime
  \* A node that is not paused asks at least once a period.
  /\ paused \/ now - askedAt < Period
  /\ now' = now + 1
  /\ listedSince' = IF leftAt # Never /\ now + 1 >= leftAt + Lag /\ listedSince = Never THEN now + 1 ELSE listedSince
  /\ UNCHANGED <<leftAt, askedAt, knows, paused, lastWork>>

Leave == leftAt = Never /\ leftAt' = now /\ UNCHANGED <<now, listedSince, askedAt, knows, paused, lastWork>>

Ask ==
  /\ ~paused
  /\ askedAt' = now
  /\ knows' = (knows \/ listedSince # Never)
  /\ UNCHANGED <<now, leftAt, listedSince, paused, lastWork>>

Pause == ~paused /\ paused' = TRUE /\ UNCHANGED <<now, leftAt, listedSince, askedAt, knows, lastWork>>
Wake == paused /\ paused' = FALSE /\ UNCHANGED <<now, leftAt, listedSince, askedAt, knows, lastWork>>

SendWork ==
  /\ ~paused /\ ~knows
  /\ now - askedAt <= MaxAge \/ Mutation = "stale-list"
  /\ lastWork' = now
  /\ UNCHANGED <<now, leftAt, listedSince, askedAt, knows, paused>>

Init ==
  /\ now = 0 /\ leftAt = Never /\ listedSince = Never /\ askedAt = 0 /\ knows = FALSE /\ paused = FALSE /\ lastWork = 0

Next == Tick \/ Leave \/ Ask \/ Pause \/ Wake \/ SendWork
Spec == Init /\ [][Next]_vars

NoNewWorkAfterLeave == leftAt # Never => lastWork <= leftAt + Limit
=============================================================================
