/*
 * Range leases and completions of one batch job: two owners of the job's shard,
 * of which either may freeze at any step and wake later, or die (it is not
 * scheduled any more), and a worker whose answers may be lost. Messages and completions may be lost, doubled and delayed. An owner
 * that was frozen still believes it owns the shard.
 *
 * Promises: the result of an item never changes once it was read; a caller is
 * told of a result only when it lasts; after a cancel was folded no owner that
 * has folded it starts an item, and a worker that was told to stop starts none;
 * the job is finished only when every item has a result.
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

/* result[o * ITEMS + i] is what owner o's fold holds for item i. */
byte result[4];
byte pos[2];
bool cancelled[2];
bool stopped = false;       /* the workers were told to stop */
byte told[ITEMS];           /* what a caller was told */
byte nextValue = 1;
bool finished = false;

chan hand = [1] of { byte, byte };       /* owner, item */
chan done = [1] of { byte, byte, byte }; /* owner, item, value */

inline putRec(k, i, v) {
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

/* tell answers a caller who asks owner o for the result of item i. */
inline tell(o, i) {
  value = result[o * ITEMS + i];
  assert(told[i] == NONE || told[i] == value);
  told[i] = value; value = 0
}

proctype owner(byte o) {
  byte from, value, hands;
  foldAll(o); /* a new owner folds what former owners completed */
  do
  :: atomic { pos[o] < size -> foldAll(o) }
  :: atomic { nfull(hand) && hands < 2 && MAY_START(o) ->
       assert(!cancelled[o]);
       if
       :: result[o * ITEMS] == NONE -> hand!o, 0
       :: result[o * ITEMS + 1] == NONE -> hand!o, 1
       :: else -> skip
       fi;
       hands++
     }
  :: atomic { done??eval(o), from, value ->
       putRec(COMPLETION, from, value);
       if :: size < N -> putRec(COMPLETION, from, value) :: true fi; /* doubled append */
#ifdef ACK_EARLY
       assert(told[from] == NONE || told[from] == value);
       told[from] = value;
#endif
       from = 0; value = 0
     }
  :: atomic { result[o * ITEMS] != NONE && told[0] != result[o * ITEMS] -> tell(o, 0) }
  :: atomic { result[o * ITEMS + 1] != NONE && told[1] != result[o * ITEMS + 1] -> tell(o, 1) }
#ifdef FINISH_BY_LEASE
  :: atomic { hands == 2 && !finished -> finished = true }
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
  :: atomic { hand?o, i ->
       if
       :: !stopped ->
          if
          :: nfull(done) -> done!o, i, nextValue; nextValue++
          :: true /* the answer is lost */
          fi
       :: stopped
       fi;
       o = 0; i = 0
     }
  :: atomic { hand?o, i -> o = 0; i = 0 } /* lost */
  od
}

proctype canceller() {
  atomic { putRec(CANCEL, 0, 0) };
  stopped = true;
stop:
  skip
}

/*
 * A reader that starts when the job is finished or the log is full folds the whole log: it agrees with what callers
 * were told, and a finished job has every result.
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
    assert(told[0] == NONE || told[0] == v0);
    assert(told[1] == NONE || told[1] == v1);
    assert(!finished || (v0 != NONE && v1 != NONE))
  }
}

init {
  atomic { run owner(0); run owner(1); run worker(); run canceller(); run reader() }
}
