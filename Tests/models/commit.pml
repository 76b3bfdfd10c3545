/* Model of commit and failover in one group: three targets, two deciders
 * (instances that decide on a failover), one request with an idempotency key
 * and a delayed copy of that request, the resolution of the key, and one read
 * of current data.
 *
 * Every message may be delayed, lost or delivered again: a sent message can be
 * delivered at any later time, and no step has to happen. This covers network
 * partitions, paused deciders that resume, and deciders that crash between two
 * steps.
 *
 * Each rule that the proof depends on has a macro NO_... that disables the
 * rule. check_models expects a violation for each disabled rule.
 *
 * docs/promises.md maps the names to the code.
 */

#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef DECIDERS
#define DECIDERS 2
#endif
#ifndef COPIES
#define COPIES 2
#endif
#if defined(NO_KEY_CHECK)
#define CAPACITY (MAXTERM + COPIES)
#else
#define CAPACITY (MAXTERM + 1)
#endif

/* START lets decider 0 start first. This loses no behaviour, because swapping
 * the two deciders leads to equivalent states. */

/* Kinds of log entries. An entry is encoded as term * 4 + kind; 0 means that
 * there is no entry. */
#define EMPTY 1
#define RUN 2
#define REFUSE 3
#define ENTRY(term_, kind_) ((term_) * 4 + (kind_))
#define TERM_OF(entry_) ((entry_) >> 2)
#define KIND_OF(entry_) ((entry_) & 3)
#define LOG(t, lsn_) log[(t) * CAPACITY + (lsn_) - 1]
#define END(t) LOG(t, length[t])

/* State of the targets. All of it is durable. */
byte term[3] = 1;
byte decider[3];  /* Decider that fenced the target in its term, plus 1; 0 if
                   * the target adopted the term from a primary. */
byte led[3];      /* Latest term in which the target was promoted; 0 if it has
                   * become a replica since. */
byte length[3];
byte log[3 * CAPACITY];
byte key[3];      /* RUN or REFUSE if the log holds such an entry, else 0. */

/* State of the deciders. */
byte attempt[2] = 1;
bool fencing[2];
byte grant[6];                    /* For each decider and target: log end of the
                                   * target that granted, plus 1; 0: none. */
byte fence_sent[2];               /* One bit for each term. */
byte promote_sent[2 * (MAXTERM + 1)]; /* For each decider and term: target,
                                       * plus 1; 0: none. */

byte copies;                      /* Copies of the request that have arrived. */

/* The read of current data. The home confirms it before it answers. */
byte read_phase;                  /* 0: not run, 1: ran, 2: answered. */
byte r_target, r_term, r_lsn;
bool r_stale;                     /* It missed a write that was acknowledged. */
byte early_report;                /* Term that a target reported before the
                                   * read ran; 0: none. */

/* Outcomes that were reported to the caller, and the primaries. */
byte told_term[4];                /* Lowest term in which RUN or REFUSE was
                                   * reported; 0: none. */
byte leader_of[MAXTERM + 1];      /* Primary of each term, plus 1; 0: none. */

hidden byte x, y;

#ifdef NO_WRITE_FENCE
#define LEADS(t) (led[t] > 0)
#else
#define LEADS(t) (led[t] == term[t])
#endif

/* If an outcome was reported in one term, the log of a primary of any later
 * term holds the entry for that outcome. */
#define SURVIVES(t)                                                    \
  assert(!(told_term[RUN] > 0 && led[t] > told_term[RUN]) ||           \
         key[t] == RUN);                                               \
  assert(!(told_term[REFUSE] > 0 && led[t] > told_term[REFUSE]) || \
         key[t] == REFUSE)

inline append(t, kind_) {
  length[t]++;
  END(t) = ENTRY(led[t], kind_);
  if
  :: kind_ != EMPTY ->
     assert(kind_ != RUN || key[t] == 0);
     key[t] = kind_
  :: else
  fi
}

/* Positions compare by term first, then by LSN. */
#define POSITION(t) (length[t] == 0 -> 0 : TERM_OF(END(t)) * 8 + length[t])

#ifdef NO_SINGLE_GRANT
#define GRANTABLE(d, t, T) \
  (T >= term[t] && (T > term[t] || decider[t] != d + 1))
#else
#define GRANTABLE(d, t, T) (T > term[t])
#endif

#define FENCE(d, t, T)                                                 \
  :: d_step {                                                          \
       ((fence_sent[d] >> T) & 1) && GRANTABLE(d, t, T) ->             \
       term[t] = T;                                                    \
       decider[t] = d + 1;                                             \
       if                                                              \
       :: fencing[d] && attempt[d] == T ->                             \
          grant[d * 3 + t] = POSITION(t) + 1                           \
       :: else                                                         \
       fi                                                              \
     }

#define START(d, T)                                                    \
  :: d_step {                                                          \
       attempt[d] < T && (d == 0 || attempt[0] > 1) ->                 \
       attempt[d] = T;                                                 \
       fencing[d] = true;                                              \
       fence_sent[d] = fence_sent[d] | (1 << T);                       \
       grant[d * 3] = 0; grant[d * 3 + 1] = 0; grant[d * 3 + 2] = 0    \
     }

/* Promotes target i, which has the most advanced log of the majority that
 * consists of i and j. */
#ifdef NO_MAJORITY
#define MAY_CHOOSE(d, i, j) (grant[d * 3 + i] > 0)
#else
#ifdef NO_MOST_ADVANCED
#define MAY_CHOOSE(d, i, j) (grant[d * 3 + i] > 0 && grant[d * 3 + j] > 0)
#else
#define MAY_CHOOSE(d, i, j) \
  (grant[d * 3 + j] > 0 && grant[d * 3 + i] >= grant[d * 3 + j])
#endif
#endif

#define CHOOSE(d, i, j)                                                \
  :: d_step {                                                          \
       fencing[d] && MAY_CHOOSE(d, i, j) ->                            \
       fencing[d] = false;                                             \
       promote_sent[d * (MAXTERM + 1) + attempt[d]] = i + 1;           \
       grant[d * 3] = 0; grant[d * 3 + 1] = 0; grant[d * 3 + 2] = 0    \
     }

#ifdef NO_PROMOTE_CHECK
#define PROMOTABLE(d, t, T) (led[t] < T)
#else
#define PROMOTABLE(d, t, T) \
  (term[t] == T && decider[t] == d + 1 && led[t] != T)
#endif

#define PROMOTE(d, t, T)                                               \
  :: d_step {                                                          \
       promote_sent[d * (MAXTERM + 1) + T] == t + 1 &&                 \
           PROMOTABLE(d, t, T) && length[t] < CAPACITY ->              \
       led[t] = T;                                                     \
       term[t] = T;                                                    \
       assert(leader_of[T] == 0 || leader_of[T] == t + 1);             \
       leader_of[T] = t + 1;                                           \
       append(t, EMPTY);                                               \
       SURVIVES(t)                                                     \
     }

/* Replica t first truncates the entries that primary p does not have, and then
 * copies one entry that it lacks. p may have been fenced already, because its
 * answer may have been sent before it was fenced and arrive late. */
#ifdef NO_REPLICATION_FENCE
#define PULLABLE(t, p) (led[p] > 0 && led[t] < led[p])
#else
#define PULLABLE(t, p) (led[p] > 0 && led[p] >= term[t])
#endif

#define PULL(t, p)                                                     \
  :: d_step {                                                          \
       PULLABLE(t, p) ->                                               \
       if                                                              \
       :: led[p] > term[t] -> term[t] = led[p]; decider[t] = 0         \
       :: else                                                         \
       fi;                                                             \
       led[t] = 0;                                                     \
       x = 1;                                                          \
       do                                                              \
       :: x <= length[t] && x <= length[p] && LOG(t, x) == LOG(p, x) -> x++ \
       :: else -> break                                                \
       od;                                                             \
       y = length[t];                                                  \
       do                                                              \
       :: y >= x ->                                                    \
          if                                                           \
          :: KIND_OF(LOG(t, y)) != EMPTY -> key[t] = 0                 \
          :: else                                                      \
          fi;                                                          \
          LOG(t, y) = 0;                                               \
          y--                                                          \
       :: else -> break                                                \
       od;                                                             \
       length[t] = x - 1;                                              \
       if                                                              \
       :: x <= length[p] ->                                            \
          length[t] = x;                                               \
          LOG(t, x) = LOG(p, x);                                       \
          if                                                           \
          :: KIND_OF(LOG(t, x)) != EMPTY -> key[t] = KIND_OF(LOG(t, x)) \
          :: else                                                      \
          fi                                                           \
       :: else                                                         \
       fi;                                                             \
       x = 0;                                                          \
       y = 0                                                           \
     }

#ifdef NO_KEY_CHECK
#define MAY_RUN(t) (length[t] < CAPACITY)
#else
#define MAY_RUN(t) (key[t] == 0 && length[t] < CAPACITY)
#endif

/* A copy of the request arrives. */
#define REQUEST(t)                                                     \
  :: d_step {                                                          \
       copies < COPIES && LEADS(t) && MAY_RUN(t) ->                    \
       copies++;                                                       \
       append(t, RUN)                                                  \
     }

/* Any instance asks for the outcome of the key. If the primary has no entry for
 * the key, it appends REFUSE, so that the request cannot run later. */
#define RESOLVE(t)                                                     \
  :: d_step {                                                          \
       LEADS(t) && key[t] == 0 && length[t] < CAPACITY ->              \
       append(t, REFUSE)                                               \
     }

/* The outcome in the key's entry is reported to the caller. This requires that
 * the primary replied with its log end, which belongs to its own term, and that
 * a replica reported that it is in this term and holds that entry. The state of
 * replica t alone shows both, because an entry of a term comes from the primary
 * of that term. The reply and the report may be delayed further. That changes
 * nothing, because the reported outcome is compared with the logs of all later
 * primaries. */
#define HOLDS_CONFIRMED(t)                                             \
  (leader_of[term[t]] != 0 && leader_of[term[t]] != t + 1 &&           \
   length[t] > 0 && TERM_OF(END(t)) == term[t])
#if defined(NO_CONFIRMATION)
#define TELLABLE(t) (HOLDS_CONFIRMED(t) || LEADS(t))
#elif defined(NO_REFUSAL_CONFIRMATION)
#define TELLABLE(t) (HOLDS_CONFIRMED(t) || (LEADS(t) && key[t] == REFUSE))
#elif defined(NO_POSITION_TERM)
#define BACKS(r, t) (term[r] == term[t] && length[r] >= length[t])
#define TELLABLE(t) (LEADS(t) && BACKED(t))
#elif defined(NO_OWN_TERM)
#define BACKS(r, t) (term[r] == term[t] && key[r] == key[t])
#define TELLABLE(t) (LEADS(t) && BACKED(t))
#else
#define TELLABLE(t) HOLDS_CONFIRMED(t)
#endif
#define BACKED(t) (BACKS(((t) + 1) % 3, t) || BACKS(((t) + 2) % 3, t))
#define TELL(t)                                                        \
  :: d_step {                                                          \
       key[t] != 0 && TELLABLE(t) &&                                   \
           (told_term[key[t]] == 0 || told_term[key[t]] > term[t]) ->  \
       told_term[key[t]] = term[t];                                    \
       /* The caller never gets both "done" and "not run". */          \
       assert(told_term[RUN] == 0 || told_term[REFUSE] == 0);          \
       SURVIVES(0);                                                    \
       SURVIVES(1);                                                    \
       SURVIVES(2)                                                     \
     }

#define READ(t)                                                        \
  :: d_step {                                                          \
       read_phase == 0 && LEADS(t) && length[t] > 0 &&                 \
           TERM_OF(END(t)) == led[t] ->                                \
       read_phase = 1;                                                 \
       r_target = t;                                                   \
       r_term = term[t];                                               \
       r_lsn = length[t];                                              \
       r_stale = told_term[RUN] > 0 && key[t] != RUN                   \
     }

/* A target's report of its term that was requested before the read ran. */
#ifdef NO_FRESH_REPORT
#define EARLY(r)                                                       \
  :: d_step {                                                          \
       read_phase == 0 && early_report == 0 -> early_report = term[r]  \
     }
#define READ_REPORTS(r) (early_report == r_term || term[r] == r_term)
#else
#define EARLY(r)
#ifdef NO_READ_TERM
#define READ_REPORTS(r) \
  (length[r] >= r_lsn && TERM_OF(LOG(r, r_lsn)) == r_term)
#else
#define READ_REPORTS(r) \
  (term[r] == r_term && length[r] >= r_lsn && TERM_OF(LOG(r, r_lsn)) == r_term)
#endif
#endif
#ifdef NO_READ_CONFIRMATION
#define READ_TELLABLE(r) (read_phase == 1)
#else
#define READ_TELLABLE(r) (read_phase == 1 && r_target != r && READ_REPORTS(r))
#endif
#define READ_TELL(r)                                                   \
  :: d_step {                                                          \
       READ_TELLABLE(r) ->                                             \
       assert(!r_stale);                                               \
       read_phase = 2; r_target = 0; r_term = 0; r_lsn = 0             \
     }

#define EACH_TARGET(ACTION) ACTION(0) ACTION(1) ACTION(2)
#define EACH_PAIR(ACTION) \
  ACTION(0, 1) ACTION(0, 2) ACTION(1, 0) ACTION(1, 2) ACTION(2, 0) ACTION(2, 1)
#if MAXTERM > 3
#define EACH_TERM(ACTION, d, t) ACTION(d, t, 2) ACTION(d, t, 3) ACTION(d, t, 4)
#define STARTS(d) START(d, 2) START(d, 3) START(d, 4)
#else
#define EACH_TERM(ACTION, d, t) ACTION(d, t, 2) ACTION(d, t, 3)
#define STARTS(d) START(d, 2) START(d, 3)
#endif
#define EACH_TERM_AND_TARGET(ACTION, d) \
  EACH_TERM(ACTION, d, 0) EACH_TERM(ACTION, d, 1) EACH_TERM(ACTION, d, 2)
#define DECIDER(d)                                                     \
  STARTS(d)                                                            \
  EACH_TERM_AND_TARGET(FENCE, d)                                       \
  EACH_TERM_AND_TARGET(PROMOTE, d)                                     \
  CHOOSE(d, 0, 1) CHOOSE(d, 0, 2) CHOOSE(d, 1, 0)                      \
  CHOOSE(d, 1, 2) CHOOSE(d, 2, 0) CHOOSE(d, 2, 1)

active proctype group() {
  d_step { led[0] = 1; leader_of[1] = 1 };
  do
  DECIDER(0)
#if DECIDERS > 1
  DECIDER(1)
#endif
  EACH_PAIR(PULL)
  EACH_TARGET(REQUEST)
  EACH_TARGET(RESOLVE)
  EACH_TARGET(TELL)
  EACH_TARGET(EARLY)
  EACH_TARGET(READ)
  EACH_TARGET(READ_TELL)
  od
}
