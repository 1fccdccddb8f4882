/*
 * Model of the range leases and completions of one batch job. It has two owners of
 * the job's shard and a worker whose responses may be lost. Either owner may pause
 * at any step and resume later, or crash, after which it is not scheduled any
 * more. Messages and completions may be lost, duplicated and delayed. An owner
 * that resumes still acts as the owner of the shard.
 *
 * Properties: the result of an item never changes after it was read; a result is
 * reported to a client only when it is durable; no owner that has applied a cancel
 * starts an item, and a worker that was stopped starts none; the job is finished
 * only when every item has a result.
 *
 * Mutants: LAST_WINS, ACK_EARLY, NO_CANCEL_CHECK, FINISH_BY_LEASE.
 */
#define ITEMS 2
#define N 4
#define NONE 0

mtype = { COMPLETION, CANCEL };
typedef Record { mtype kind; byte item; byte value };
Record rec[N];
byte size = 0;

/* result[o * ITEMS + i] is the result of item i in the state of owner o. */
byte result[4];
byte pos[2];
bool cancelled[2];
bool stopped = false;       /* whether the workers were stopped */
byte reported[ITEMS];       /* results that were reported to a client */
byte nextValue = 1;
bool finished = false;

chan leases = [1] of { byte, byte };       /* owner, item */
chan completions = [1] of { byte, byte, byte }; /* owner, item, value */

inline appendRec(k, i, v) {
  if
  :: size < N -> rec[size].kind = k; rec[size].item = i; rec[size].value = v; size++
  :: else -> goto stop
  fi
}

inline foldNext(o) {
  if
  :: rec[pos[o]].kind == CANCEL -> cancelled[o] = true
  :: rec[pos[o]].kind == COMPLETION ->
#ifdef LAST_WINS
     result[o * ITEMS + rec[pos[o]].item] = rec[pos[o]].value
#else
     if
     :: result[o * ITEMS + rec[pos[o]].item] == NONE ->
        result[o * ITEMS + rec[pos[o]].item] = rec[pos[o]].value
     :: else
     fi
#endif
  fi;
  pos[o] = pos[o] + 1
}

inline foldAll(o) {
  atomic { do :: pos[o] < size -> foldNext(o) :: else -> break od }
}

#ifdef NO_CANCEL_CHECK
#define MAY_START(o) true
#else
#define MAY_START(o) !cancelled[o]
#endif

/* report returns the result of item i from owner o to a client. */
inline report(o, i) {
  value = result[o * ITEMS + i];
  assert(reported[i] == NONE || reported[i] == value);
  reported[i] = value; value = 0
}

proctype owner(byte o) {
  byte item, value, leaseCount;
  foldAll(o); /* a new owner applies the completions of former owners */
  do
  :: atomic { pos[o] < size -> foldAll(o) }
  :: atomic { nfull(leases) && leaseCount < 2 && MAY_START(o) ->
       assert(!cancelled[o]);
       if
       :: result[o * ITEMS] == NONE -> leases!o, 0
       :: result[o * ITEMS + 1] == NONE -> leases!o, 1
       :: else -> skip
       fi;
       leaseCount++
     }
  :: atomic { completions??eval(o), item, value ->
       appendRec(COMPLETION, item, value);
       if :: size < N -> appendRec(COMPLETION, item, value) :: true fi; /* duplicated append */
#ifdef ACK_EARLY
       assert(reported[item] == NONE || reported[item] == value);
       reported[item] = value;
#endif
       item = 0; value = 0
     }
  :: atomic { result[o * ITEMS] != NONE && reported[0] != result[o * ITEMS] -> report(o, 0) }
  :: atomic { result[o * ITEMS + 1] != NONE && reported[1] != result[o * ITEMS + 1] -> report(o, 1) }
#ifdef FINISH_BY_LEASE
  :: atomic { leaseCount == 2 && !finished -> finished = true }
#else
  :: atomic { !finished && result[o * ITEMS] != NONE && result[o * ITEMS + 1] != NONE -> finished = true }
#endif
  od;
stop:
  skip
}

proctype worker() {
  byte o, i;
  do
  :: atomic { leases?o, i ->
       if
       :: !stopped ->
          if
          :: nfull(completions) -> completions!o, i, nextValue; nextValue++
          :: true /* the response is lost */
          fi
       :: stopped
       fi;
       o = 0; i = 0
     }
  :: atomic { leases?o, i -> o = 0; i = 0 } /* lost */
  od
}

proctype canceller() {
  atomic { appendRec(CANCEL, 0, 0) };
  stopped = true;
stop:
  skip
}

/*
 * reader starts when the job is finished or the log is full and applies the whole
 * log. Its results agree with those that were reported to clients, and a finished
 * job has a result for every item.
 */
proctype reader() {
  byte i, v0, v1;
  atomic {
    finished || size == N;
    do
    :: i < size ->
       if
       :: rec[i].kind == COMPLETION && rec[i].item == 0 ->
#ifdef LAST_WINS
          v0 = rec[i].value
#else
          if :: v0 == NONE -> v0 = rec[i].value :: else fi
#endif
       :: rec[i].kind == COMPLETION && rec[i].item == 1 ->
#ifdef LAST_WINS
          v1 = rec[i].value
#else
          if :: v1 == NONE -> v1 = rec[i].value :: else fi
#endif
       :: else
       fi;
       i++
    :: else -> break
    od;
    assert(reported[0] == NONE || reported[0] == v0);
    assert(reported[1] == NONE || reported[1] == v1);
    assert(!finished || (v0 != NONE && v1 != NONE))
  }
}

init {
  atomic { run owner(0); run owner(1); run worker(); run canceller(); run reader() }
}
