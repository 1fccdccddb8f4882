/*
 * Model of the configuration. It has two operators who publish concurrently,
 * renewers that may pause between preparing and appending a renewal, retention,
 * a reader that has read every record, and a reader that starts after records
 * have expired.
 *
 * The version of an accepted publication is its offset plus one. A renewal
 * certifies the version in force after all records below seen were applied. A
 * reader that starts late defers its decision on publications until it reads a
 * renewal that was prepared at or after its first record.
 *
 * Properties: a reader's version never decreases; a late reader whose version is
 * known agrees with the reader that has read everything; of two publications on
 * the same base at most one is accepted; the log always contains a copy of the
 * version in force.
 *
 * Mutants: STALE_RENEWAL, NO_CERTIFICATE, NO_BASE, DECIDE_AT_ONCE, NO_KEEP.
 */
#define N 5

mtype = { PUBLISH, RENEWAL };
typedef Record { mtype kind; byte base; byte version; byte seen };
Record rec[N];
byte size = 0;
byte first = 0;   /* offset of the oldest retained record */

byte current = 0;    /* version in force at the reader that has read every record */
byte fullPos = 0;
byte newestCopy = 0;  /* offset of the newest copy of the version in force */
bool acceptedOn[N + 1];

#ifdef NO_BASE
#define BASE_MATCHES(v, r) true
#else
#define BASE_MATCHES(v, r) (rec[r].base == v)
#endif
#ifdef NO_CERTIFICATE
#define CERTIFIED(r) true
#else
#define CERTIFIED(r) (rec[r].seen >= first)
#endif

inline appendPublish(b) {
  atomic {
    if
    :: size < N -> rec[size].kind = PUBLISH; rec[size].base = b; size++
    :: else -> goto stop
    fi
  }
}

inline appendRenewal(v, s) {
  atomic {
    if
    :: size < N -> rec[size].kind = RENEWAL; rec[size].version = v; rec[size].seen = s; size++
    :: else -> goto stop
    fi
  }
}

/* fullReader applies the log from the first record. */
proctype fullReader() {
  byte before;
end:
  do
  :: atomic { fullPos < size ->
       before = current;
       if
       :: rec[fullPos].kind == PUBLISH && BASE_MATCHES(current, fullPos) ->
          assert(!acceptedOn[rec[fullPos].base]);
          acceptedOn[rec[fullPos].base] = true;
          current = fullPos + 1; newestCopy = fullPos
       :: rec[fullPos].kind == RENEWAL ->
#ifdef STALE_RENEWAL
          current = rec[fullPos].version; newestCopy = fullPos
#else
          if :: rec[fullPos].version == current -> newestCopy = fullPos :: else fi
#endif
       :: else
       fi;
       fullPos++;
       assert(current >= before);
       before = 0
     }
  od
}

/* decideHeld decides the deferred publications before offset pos. */
inline decideHeld() {
  i = rec[pos].seen;
  if :: i < first -> i = first :: else fi;
  do
  :: i < pos ->
     if :: rec[i].kind == PUBLISH && BASE_MATCHES(version, i) -> version = i + 1 :: else fi;
     i++
  :: else -> break
  od;
  i = 0
}

/*
 * lateReader is a process that starts at any time. It applies the log from the
 * oldest retained record to the end.
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
          :: rec[pos].kind == PUBLISH && known && BASE_MATCHES(version, pos) -> version = pos + 1
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

/* operator publishes on the version it has read, which may be outdated by then. */
proctype operator(byte twice) {
  byte base;
  base = current;
  appendPublish(base);
  if
  :: twice -> base = current; appendPublish(base)
  :: else
  fi;
stop:
  skip
}

/* renewer prepares a renewal, may pause, and then appends the renewal. */
proctype renewer() {
  byte version, seen;
  do
  :: atomic { current > 0 -> version = current; seen = fullPos };
     appendRenewal(version, seen);
     version = 0; seen = 0
  od;
stop:
  skip
}

/*
 * retention drops the oldest record. Records are renewed well before they expire,
 * so the log never drops the newest copy of the version in force once every
 * reader has applied the log.
 */
proctype retention() {
end:
  do
#ifdef NO_KEEP
  :: atomic { first < size && size > 3 -> first++;
#else
  :: atomic { first < size && fullPos == size && first < newestCopy -> first++;
#endif
       assert(fullPos != size || current == 0 || first <= newestCopy)
     }
  od
}

init {
  atomic {
    run fullReader(); run lateReader(); run operator(1); run operator(0);
    run renewer(); run renewer(); run retention()
  }
}
