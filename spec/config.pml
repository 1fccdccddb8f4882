/*
 * Configuration: two operators who race, renewals by a renewer that may freeze
 * between preparing and appending one, retention, a reader that has seen
 * everything and one that starts when records have expired.
 *
 * The version of an accepted publication is its offset plus one. A renewal
 * certifies a version once every record below seen was folded. A reader that
 * starts late holds publications back until a renewal that was prepared at or
 * after its first record settles them.
 *
 * Promises: a reader's version never goes down; a late reader that knows its
 * version agrees with the one that has read everything; of two publications on
 * the same base at most one is accepted; the log always keeps a copy of the
 * version in force.
 *
 * Mutants: STALE_RENEWAL, NO_CERTIFICATE, NO_BASE, DECIDE_AT_ONCE, NO_KEEP.
 */
#define N 5

mtype = { PUBLISH, RENEWAL };
typedef Record { mtype kind; byte base; byte version; byte seen };
Record rec[N];
byte size = 0;
byte first = 0;   /* oldest record kept */

byte current = 0;    /* version in force at the reader that has seen everything */
byte fullPos = 0;
byte copyAt = 0;  /* offset of the newest copy of the version in force */
bool acceptedOn[N + 1];

#ifdef NO_BASE
#define BASED(v, r) true
#else
#define BASED(v, r) (rec[r].base == v)
#endif
#ifdef NO_CERTIFICATE
#define CERTIFIED(r) true
#else
#define CERTIFIED(r) (rec[r].seen >= first)
#endif

inline putPublish(b) {
  atomic {
    if
    :: size < N -> rec[size].kind = PUBLISH; rec[size].base = b; size++
    :: else -> goto stop
    fi
  }
}

inline putRenewal(v, s) {
  atomic {
    if
    :: size < N -> rec[size].kind = RENEWAL; rec[size].version = v; rec[size].seen = s; size++
    :: else -> goto stop
    fi
  }
}

/* fullReader folds from the beginning. */
proctype fullReader() {
  byte before;
end:
  do
  :: atomic { fullPos < size ->
       before = current;
       if
       :: rec[fullPos].kind == PUBLISH && BASED(current, fullPos) ->
          assert(!acceptedOn[rec[fullPos].base]);
          acceptedOn[rec[fullPos].base] = true;
          current = fullPos + 1; copyAt = fullPos
       :: rec[fullPos].kind == RENEWAL ->
#ifdef STALE_RENEWAL
          current = rec[fullPos].version; copyAt = fullPos
#else
          if :: rec[fullPos].version == current -> copyAt = fullPos :: else fi
#endif
       :: else
       fi;
       fullPos++;
       assert(current >= before);
       before = 0
     }
  od
}

/* decideHeld decides the publications that were held back before offset pos. */
inline decideHeld() {
  i = rec[pos].seen;
  if :: i < first -> i = first :: else fi;
  do
  :: i < pos ->
     if :: rec[i].kind == PUBLISH && BASED(version, i) -> version = i + 1 :: else fi;
     i++
  :: else -> break
  od;
  i = 0
}

/*
 * lateReader is a process that starts at any time at the oldest record kept
 * and folds the log to its end.
 */
proctype lateReader() {
  byte pos, version, before, i;
  bool known;
end:
  do
  :: atomic { first > 0 && fullPos == size ->
       pos = first;
#ifdef DECIDE_AT_ONCE
       known = true;
#endif
       do
       :: pos < size ->
          before = version;
          if
          :: rec[pos].kind == PUBLISH && known && BASED(version, pos) -> version = pos + 1
          :: rec[pos].kind == RENEWAL && !known && CERTIFIED(pos) ->
             version = rec[pos].version; known = true;
             decideHeld()
          :: else
          fi;
          assert(version >= before);
          pos++
       :: else -> break
       od;
       assert(!known || version == current);
       pos = 0; version = 0; before = 0; known = false
     }
  od
}

/* operator publishes on the version it has read, which may be old by then. */
proctype operator(byte again) {
  byte base;
  base = current;
  putPublish(base);
  if
  :: again -> base = current; putPublish(base)
  :: else
  fi;
stop:
  skip
}

/* renewer prepares a renewal, may freeze, and appends it. */
proctype renewer() {
  byte version, seen;
  do
  :: atomic { current > 0 -> version = current; seen = fullPos };
     putRenewal(version, seen);
     version = 0; seen = 0
  od;
stop:
  skip
}

/*
 * retention drops the oldest record. Records are renewed well before they
 * expire, so the newest copy of the version in force is never dropped by a log
 * that every reader has folded.
 */
proctype retention() {
end:
  do
#ifdef NO_KEEP
  :: atomic { first < size && size > 3 -> first++;
#else
  :: atomic { first < size && fullPos == size && first < copyAt -> first++;
#endif
       assert(fullPos != size || current == 0 || first <= copyAt)
     }
  od
}

init {
  atomic {
    run fullReader(); run lateReader(); run operator(1); run operator(0);
    run renewer(); run renewer(); run retention()
  }
}
