/*
 * Model of at-most-once claims of one key. It has two entries, a sidecar that may
 * restart once, and a client that resends its request to the other entry. Appends
 * may be duplicated and take effect late. Messages may be lost, duplicated and
 * delayed. A process that pauses or crashes at some step is one that is not
 * scheduled for a while, or never again.
 *
 * Mutants: NO_READBACK, NO_VETO, NO_FENCE, NO_LEDGER, RESTART_IS_PROOF,
 * SUCCESSOR_IS_PROOF, RELEASE_REOPENS_ENDED.
 */
#define N 5        /* capacity of the log in records */
#define ATTEMPTS 4 /* attempt ids 1..3 */
#define NONE 0

mtype = { CLAIM, RELEASE, DONE, UNKNOWN };
mtype = { FREE, HELD, RELEASED, COMPLETE, ENDED };
mtype = { RESPONDED, REFUSED, REFUSED_FENCED };
mtype = { NEVER_STARTED, STARTED, OTHER, UNREACHABLE };

typedef Record { mtype kind; byte attempt; byte base };
typedef Row { mtype phase; byte attempt; byte claimed; byte version; byte pos };

Record rec[N];
byte size = 0;
mtype lateKind; byte lateAttempt, lateBase;
bool hasLate = false;
byte lateUsed = 0;

Row row[2];
bool started[ATTEMPTS], vetoed[ATTEMPTS], released[ATTEMPTS];
byte incarnation = 1;
byte executions = 0;
byte unknownAttempt = 0; /* the attempt whose outcome was reported as unknown */
byte target[ATTEMPTS];
chan requests = [2] of { byte, byte };      /* attempt, incarnation */
chan responses[ATTEMPTS] = [1] of { mtype };

inline appendRec(k, a, b) {
  if
  :: size < N -> rec[size].kind = k; rec[size].attempt = a; rec[size].base = b; size++
  :: else -> goto stop
  fi
}

/* commitRec appends one record, optionally with a duplicate that takes effect late. */
inline commitRec(k, a, b) {
  atomic {
    appendRec(k, a, b);
    offset = size;
    if
    :: true
    :: !hasLate && lateUsed < 1 ->
       lateKind = k; lateAttempt = a; lateBase = b; hasLate = true; lateUsed++
    fi
  }
}

#define BASE_MATCHES(e, r) (row[e].version == rec[r].base)
#ifdef RELEASE_REOPENS_ENDED
#define RELEASABLE(e) (row[e].phase == HELD || row[e].phase == ENDED || row[e].phase == COMPLETE)
#else
#define RELEASABLE(e) (row[e].phase == HELD)
#endif
#define SAME_CLAIM(e, r) (row[e].attempt == rec[r].attempt && row[e].claimed == rec[r].base)

/* foldNext applies the next record to the row of entry e. */
inline foldNext(e) {
  r = row[e].pos;
  row[e].pos++;
  if
  :: rec[r].kind == CLAIM && (row[e].phase == FREE || row[e].phase == RELEASED) && BASE_MATCHES(e, r) ->
     row[e].phase = HELD; row[e].attempt = rec[r].attempt; row[e].claimed = r + 1; row[e].version = r + 1
  :: rec[r].kind == RELEASE && RELEASABLE(e) && SAME_CLAIM(e, r) ->
     row[e].phase = RELEASED; row[e].version = r + 1;
     released[rec[r].attempt] = true;
     assert(!started[rec[r].attempt] || incarnation != target[rec[r].attempt])
  :: rec[r].kind == DONE && (row[e].phase == HELD || row[e].phase == ENDED) && SAME_CLAIM(e, r) ->
     row[e].phase = COMPLETE; row[e].version = r + 1
  :: rec[r].kind == UNKNOWN && row[e].phase == HELD && SAME_CLAIM(e, r) ->
     row[e].phase = ENDED; row[e].version = r + 1;
     unknownAttempt = rec[r].attempt
  :: else
  fi;
  r = 0
}

/* foldAll applies the rest of the log at entry e, as the read-back of a commit does. */
inline foldAll(e) {
  atomic { do :: row[e].pos < size -> foldNext(e) :: else -> break od }
}

/* askVeto asks the sidecar to reject attempt a if it has not started it. */
inline askVeto(a) {
  atomic {
    if
    :: true -> verdict = UNREACHABLE
    :: target[a] != incarnation -> verdict = OTHER
    :: target[a] == incarnation && started[a] -> verdict = STARTED
    :: target[a] == incarnation && !started[a] ->
       vetoed[a] = true;
       if :: true -> verdict = NEVER_STARTED :: true -> verdict = UNREACHABLE fi
    fi
  }
}

/* resolve ends the claim of another attempt that holds the row. */
inline resolve(e) {
  atomic { holder = row[e].attempt; base = row[e].claimed }
#ifdef NO_VETO
  verdict = NEVER_STARTED;
#else
  askVeto(holder);
#endif
#ifdef RESTART_IS_PROOF
  if :: verdict == OTHER -> verdict = NEVER_STARTED :: else fi;
#endif
  if
  :: verdict == NEVER_STARTED -> commitRec(RELEASE, holder, base)
  :: else -> commitRec(UNKNOWN, holder, base)
  fi;
  verdict = UNREACHABLE; holder = 0; base = 0;
  foldAll(e)
}

/* dispatch sends the attempt once and records the response. */
inline dispatch(e, a) {
  if
  :: atomic { nfull(requests) -> requests!a, target[a] }
  :: true
  fi;
  if
  :: atomic { responses[a]?response -> base = row[e].claimed };
     if
     :: response == RESPONDED -> commitRec(DONE, a, base)
     :: response == REFUSED -> commitRec(RELEASE, a, base)
#ifdef SUCCESSOR_IS_PROOF
     :: response == REFUSED_FENCED -> commitRec(RELEASE, a, base)
#else
     :: response == REFUSED_FENCED -> commitRec(UNKNOWN, a, base)
#endif
     fi;
     response = RESPONDED; base = 0; offset = 0
  fi
}

/* claimRow claims the row for attempt a and dispatches it if the claim was accepted. */
inline claimRow(e, a) {
  atomic { target[a] = incarnation; base = row[e].version }
  commitRec(CLAIM, a, base);
#ifdef NO_READBACK
  offset = 0; base = 0;
  dispatch(e, a)
#else
  foldAll(e);
  if
  :: row[e].phase == HELD && row[e].claimed == offset -> offset = 0; base = 0; dispatch(e, a)
  :: else -> offset = 0; base = 0
  fi
#endif
}

proctype entry(byte e; byte first; byte last) {
  byte a, offset, base, holder, r;
  mtype response = RESPONDED;
  mtype verdict = UNREACHABLE;
  a = first;
  do
  :: a > last -> break
  :: a <= last ->
     foldAll(e);
     if
     :: row[e].phase == FREE || row[e].phase == RELEASED -> claimRow(e, a); a++
     :: row[e].phase == HELD -> resolve(e)
     :: row[e].phase == COMPLETE || row[e].phase == ENDED -> break
     fi
  od;
stop:
  skip
}

#ifdef NO_FENCE
#define FENCED(i) false
#else
#define FENCED(i) (i != incarnation)
#endif
#ifdef NO_LEDGER
#define KNOWN(a) false
#else
#define KNOWN(a) started[a]
#endif

proctype sidecar() {
  byte a, i, k;
  bool duplicated = false;
  do
  :: atomic { requests?a, i ->
       if
       :: !duplicated -> duplicated = true; requests!a, i /* a duplicate arrives later */
       :: true
       fi;
       if
       :: FENCED(i) -> if :: nfull(responses[a]) -> responses[a]!REFUSED_FENCED :: true fi
       :: !FENCED(i) && vetoed[a] -> if :: nfull(responses[a]) -> responses[a]!REFUSED :: true fi
       :: else ->
          if
          :: KNOWN(a)
          :: else ->
             assert(!released[a]); /* released as not run, then run */
             assert(unknownAttempt == 0 || unknownAttempt == a); /* no other attempt runs after an unknown outcome */
             started[a] = true; executions++;
             assert(executions <= 1);
             if :: nfull(responses[a]) -> responses[a]!RESPONDED :: true fi
          fi
       fi;
       a = 0; i = 0
     }
  :: atomic { requests?a, i -> a = 0; i = 0 } /* lost */
  :: atomic { incarnation == 1 -> incarnation = 2;
       k = 0;
       do :: k < ATTEMPTS -> started[k] = false; vetoed[k] = false; k++ :: else -> break od;
       k = 0
     }
  od
}

/* lateLog applies the delayed duplicate of an append at any time. */
proctype lateLog() {
  byte offset;
end:
  atomic { hasLate -> hasLate = false; appendRec(lateKind, lateAttempt, lateBase) };
stop:
  skip
}

init {
  atomic {
    row[0].phase = FREE; row[1].phase = FREE;
    run entry(0, 1, 1);
    run entry(1, 2, 3);
    run sidecar();
    run lateLog()
  }
}
