/*
 * At-most-once claims of one key: two entries, a sidecar that may restart once,
 * a client that resends to the other entry. Appends may be doubled and take
 * effect late; messages may be lost, doubled and delayed. Any process may freeze
 * or die at any step: it is not scheduled for a while, or never again.
 *
 * Mutants: NO_READBACK, NO_VETO, NO_FENCE, NO_LEDGER, RESTART_IS_PROOF,
 * SUCCESSOR_IS_PROOF, RELEASE_REOPENS_ENDED.
 */
#define N 5        /* records the log can hold */
#define ATTEMPTS 4 /* attempt ids 1..3 */
#define NONE 0

mtype = { CLAIM, RELEASE, DONE, UNKNOWN };
mtype = { FREE, HELD, RELEASED, COMPLETE, ENDED };
mtype = { WHOLE, REFUSED, REFUSED_FENCED };
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
byte ran = 0;
byte unknownAttempt = 0; /* the attempt whose outcome someone was told is unknown */
byte target[ATTEMPTS];
chan runs = [2] of { byte, byte };      /* attempt, incarnation */
chan answer[ATTEMPTS] = [1] of { mtype };

inline putRec(k, a, b) {
  if
  :: size < N -> rec[size].kind = k; rec[size].attempt = a; rec[size].base = b; size++
  :: else -> goto stop
  fi
}

/* append commits one record: once, or with a copy that takes effect late. */
inline commitRec(k, a, b) {
  atomic {
    putRec(k, a, b);
    at = size;
    if
    :: true
    :: !hasLate && lateUsed < 1 ->
       lateKind = k; lateAttempt = a; lateBase = b; hasLate = true; lateUsed++
    fi
  }
}

#define BASED(e, r) (row[e].version == rec[r].base)
#ifdef RELEASE_REOPENS_ENDED
#define OPENABLE(e) (row[e].phase == HELD || row[e].phase == ENDED || row[e].phase == COMPLETE)
#else
#define OPENABLE(e) (row[e].phase == HELD)
#endif
#define MINE(e, r) (row[e].attempt == rec[r].attempt && row[e].claimed == rec[r].base)

/* apply folds the next record at entry e. */
inline foldNext(e) {
  r = row[e].pos;
  row[e].pos++;
  if
  :: rec[r].kind == CLAIM && (row[e].phase == FREE || row[e].phase == RELEASED) && BASED(e, r) ->
     row[e].phase = HELD; row[e].attempt = rec[r].attempt; row[e].claimed = r + 1; row[e].version = r + 1
  :: rec[r].kind == RELEASE && OPENABLE(e) && MINE(e, r) ->
     row[e].phase = RELEASED; row[e].version = r + 1;
     released[rec[r].attempt] = true;
     assert(!started[rec[r].attempt] || incarnation != target[rec[r].attempt])
  :: rec[r].kind == DONE && (row[e].phase == HELD || row[e].phase == ENDED) && MINE(e, r) ->
     row[e].phase = COMPLETE; row[e].version = r + 1
  :: rec[r].kind == UNKNOWN && row[e].phase == HELD && MINE(e, r) ->
     row[e].phase = ENDED; row[e].version = r + 1;
     unknownAttempt = rec[r].attempt
  :: else
  fi;
  r = 0
}

/* foldAll folds the whole log at entry e, as a commit's read-back does. */
inline foldAll(e) {
  atomic { do :: row[e].pos < size -> foldNext(e) :: else -> break od }
}

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

/* resolve settles a row that another attempt holds. */
inline resolve(e) {
  atomic { held = row[e].attempt; base = row[e].claimed }
#ifdef NO_VETO
  verdict = NEVER_STARTED;
#else
  askVeto(held);
#endif
#ifdef RESTART_IS_PROOF
  if :: verdict == OTHER -> verdict = NEVER_STARTED :: else fi;
#endif
  if
  :: verdict == NEVER_STARTED -> commitRec(RELEASE, held, base)
  :: else -> commitRec(UNKNOWN, held, base)
  fi;
  verdict = UNREACHABLE; held = 0; base = 0;
  foldAll(e)
}

/* dispatch sends the attempt once and records what comes back. */
inline dispatch(e, a) {
  if
  :: atomic { nfull(runs) -> runs!a, target[a] }
  :: true
  fi;
  if
  :: atomic { answer[a]?got -> base = row[e].claimed };
     if
     :: got == WHOLE -> commitRec(DONE, a, base)
     :: got == REFUSED -> commitRec(RELEASE, a, base)
#ifdef SUCCESSOR_IS_PROOF
     :: got == REFUSED_FENCED -> commitRec(RELEASE, a, base)
#else
     :: got == REFUSED_FENCED -> commitRec(UNKNOWN, a, base)
#endif
     fi;
     got = WHOLE; base = 0; at = 0
  fi
}

/* attempt claims the row for attempt a and dispatches if it won. */
inline claimRow(e, a) {
  atomic { target[a] = incarnation; base = row[e].version }
  commitRec(CLAIM, a, base);
#ifdef NO_READBACK
  at = 0; base = 0;
  dispatch(e, a)
#else
  foldAll(e);
  if
  :: row[e].phase == HELD && row[e].claimed == at -> at = 0; base = 0; dispatch(e, a)
  :: else -> at = 0; base = 0
  fi
#endif
}

proctype entry(byte e; byte first; byte last) {
  byte a, at, base, held, r;
  mtype got = WHOLE;
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
  bool doubled = false;
  do
  :: atomic { runs?a, i ->
       if
       :: !doubled -> doubled = true; runs!a, i /* a copy arrives later */
       :: true
       fi;
       if
       :: FENCED(i) -> if :: nfull(answer[a]) -> answer[a]!REFUSED_FENCED :: true fi
       :: !FENCED(i) && vetoed[a] -> if :: nfull(answer[a]) -> answer[a]!REFUSED :: true fi
       :: else ->
          if
          :: KNOWN(a)
          :: else ->
             assert(!released[a]); /* told not run, then run */
             assert(unknownAttempt == 0 || unknownAttempt == a); /* never dispatched again */
             started[a] = true; ran++;
             assert(ran <= 1);
             if :: nfull(answer[a]) -> answer[a]!WHOLE :: true fi
          fi
       fi;
       a = 0; i = 0
     }
  :: atomic { runs?a, i -> a = 0; i = 0 } /* lost */
  :: atomic { incarnation == 1 -> incarnation = 2;
       k = 0;
       do :: k < ATTEMPTS -> started[k] = false; vetoed[k] = false; k++ :: else -> break od;
       k = 0
     }
  od
}

/* lateLog applies the held-back copy of an append at any time. */
proctype lateLog() {
  byte at;
end:
  atomic { hasLate -> hasLate = false; putRec(lateKind, lateAttempt, lateBase) };
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
