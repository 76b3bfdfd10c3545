/* Models the submission of sheets and their acceptance by instances. There are
 * three submissions by three operators, two of which are repeated through
 * another instance; the table with its conditional write; three instances that
 * learn versions from the store and from each other; and one session that moves
 * between the instances.
 *
 * Every read may fail (store outage or network partition), every message may
 * be delayed, a write may take effect after its sender has given up, and its
 * reply may be lost. No process has to take its next step, which also covers an
 * instance that crashes between two steps.
 *
 * The model has two halves that share only the version in the store. Without
 * WITH_INSTANCES the submissions run. With it, the version in the store grows
 * without submissions, and the instances run.
 *
 * Each rule that the proof depends on has a macro NO_... that removes the rule
 * when it is defined. check_models then expects a violation.
 *
 * docs/promises.md maps the names to the code.
 */

#define SUBS 3
#define RUNS 5  /* Run r executes submission r % SUBS. */
#define NONE 0

/* The platform's store. A version's history row is 0 while it is absent. */
byte head;                 /* Version in the row sheet/head. */
byte head_by;              /* Number of the submission in that row, plus 1. */
byte history[SUBS + 2];

/* The accepted and the reported outcomes, for the assertions. */
byte accepted[SUBS + 2];   /* Submission of each version, plus 1. */
bool told_accepted[SUBS];
bool told_lost[SUBS];

/* Each submission names the version that it was based on. */
bool based[SUBS];
byte base[SUBS];
bool sent[SUBS];           /* The conditional write was sent. */

#define IDLE 0
#define READ_HEAD 1
#define DECIDE 2
#define READ_HISTORY 3
#define WRITE 4
#define ANSWER 5
#define ENDED 6
byte phase[RUNS];
byte seen[RUNS];           /* Head version as last read. */
byte seen_by[RUNS];

/* The instances. */
byte in_force[3];
byte arriving[3];  /* Version that a fetch has read. */
byte token;                /* Sheet version in the session's token. */
byte restarts;

#define SUB(r) ((r) % SUBS)
#define OWN(r) (base[SUB(r)] + 1)

#define TELL_ACCEPTED(r)                                               \
  phase[r] = ENDED;                                                    \
  told_accepted[SUB(r)] = true;                                        \
  assert(!told_lost[SUB(r)]);                                          \
  assert(accepted[OWN(r)] == SUB(r) + 1)
#define TELL_LOST(r)                                                   \
  phase[r] = ENDED;                                                    \
  told_lost[SUB(r)] = true;                                            \
  assert(!told_accepted[SUB(r)]);                                      \
  assert(accepted[1] != SUB(r) + 1 && accepted[2] != SUB(r) + 1 &&     \
         accepted[3] != SUB(r) + 1 && accepted[4] != SUB(r) + 1)

/* A repeated run starts only after the submission's first run has started, and
 * uses the same base version. */
#ifdef NO_FIXED_BASE
#define REBASE(r) base[SUB(r)] = head; based[SUB(r)] = true
#else
#define REBASE(r)                                                      \
  if                                                                   \
  :: !based[SUB(r)] -> base[SUB(r)] = head; based[SUB(r)] = true       \
  :: else                                                              \
  fi
#endif
#define START(r)                                                       \
  :: d_step {                                                          \
       phase[r] == IDLE && (r < SUBS || based[SUB(r)]) &&              \
           (SUB(r) == 0 || based[SUB(r) - 1]) ->                       \
       REBASE(r);                                                      \
       phase[r] = READ_HEAD                                            \
     }

#define READ(r)                                                        \
  :: d_step {                                                          \
       phase[r] == READ_HEAD ->                                        \
       seen[r] = head;                                                 \
       seen_by[r] = head_by;                                           \
       phase[r] = DECIDE                                               \
     }

#ifdef NO_SUBMISSION_ID
#define IS_OWN(r) true
#else
#define IS_OWN(r) (seen_by[r] == SUB(r) + 1)
#endif
#ifdef NO_HISTORY_READ
#define SUPERSEDED(r) TELL_LOST(r)
#else
#define SUPERSEDED(r) phase[r] = READ_HISTORY
#endif
#define DECIDE_STEP(r)                                                 \
  :: d_step {                                                          \
       phase[r] == DECIDE && seen[r] == OWN(r) && IS_OWN(r) ->         \
       TELL_ACCEPTED(r);                                               \
       seen[r] = 0; seen_by[r] = 0                                     \
     }                                                                 \
  :: d_step {                                                          \
       phase[r] == DECIDE && seen[r] == OWN(r) && !IS_OWN(r) ->        \
       TELL_LOST(r);                                                   \
       seen[r] = 0; seen_by[r] = 0                                     \
     }                                                                 \
  :: d_step {                                                          \
       phase[r] == DECIDE && seen[r] > OWN(r) ->                       \
       SUPERSEDED(r);                                                  \
       seen[r] = 0; seen_by[r] = 0                                     \
     }                                                                 \
  :: d_step {                                                          \
       phase[r] == DECIDE && seen[r] < OWN(r) ->                       \
       STORE_HISTORY(r);                                               \
       phase[r] = WRITE;                                               \
       seen[r] = 0; seen_by[r] = 0                                     \
     }

/* Copies the head that is about to be replaced to its history row. */
#ifdef NO_HISTORY_ROW
#define STORE_HISTORY(r)
#else
#define STORE_HISTORY(r)                                               \
  if                                                                   \
  :: seen[r] > 0 && history[seen[r]] == 0 ->                           \
     history[seen[r]] = seen_by[r]                                     \
  :: else                                                              \
  fi
#endif

#define READ_ROW(r)                                                    \
  :: d_step {                                                          \
       phase[r] == READ_HISTORY && history[OWN(r)] == SUB(r) + 1 ->    \
       TELL_ACCEPTED(r)                                                \
     }                                                                 \
  :: d_step {                                                          \
       phase[r] == READ_HISTORY && history[OWN(r)] != SUB(r) + 1 ->    \
       TELL_LOST(r)                                                    \
     }

#define SEND(r)                                                        \
  :: d_step {                                                          \
       phase[r] == WRITE -> sent[SUB(r)] = true; phase[r] = ANSWER     \
     }                                                                 \
  /* If there is no reply, the head is read again. */                  \
  :: d_step { phase[r] == ANSWER -> phase[r] = READ_HEAD }

/* The write takes effect. Its reply reaches one waiting run or is lost. */
#ifdef NO_CONDITIONAL_WRITE
#define MAY_WRITE(s) (head < SUBS + 1)
#else
#define MAY_WRITE(s) (head == base[s])
#endif
#define EFFECT(s)                                                      \
  head = base[s] + 1;                                                  \
  head_by = s + 1;                                                     \
  assert(!told_lost[s]);                                               \
  assert(accepted[1] != s + 1 && accepted[2] != s + 1 &&               \
         accepted[3] != s + 1 && accepted[4] != s + 1);                \
  assert(accepted[head] == NONE);                                      \
  accepted[head] = s + 1
#define TAKE_EFFECT(s)                                                 \
  :: d_step { sent[s] && MAY_WRITE(s) -> EFFECT(s) }                   \
  :: d_step {                                                          \
       sent[s] && MAY_WRITE(s) && phase[s] == ANSWER ->                \
       EFFECT(s);                                                      \
       TELL_ACCEPTED(s)                                                \
     }

/* The run gives up. If it has sent a write, it reports the outcome as unknown,
 * which is compatible with any actual outcome. */
#ifdef NO_UNKNOWN
#define GIVE_UP(r)                                                     \
  :: d_step { phase[r] == READ_HEAD -> TELL_LOST(r) }
#else
#define GIVE_UP(r)                                                     \
  :: d_step { phase[r] == READ_HEAD -> phase[r] = ENDED }
#endif

/* An instance reads a version from the store or from a peer, or its fetch
 * fails. */
#define FETCH(i)                                                       \
  :: d_step { arriving[i] == 0 && head > 0 -> arriving[i] = head }     \
  :: d_step {                                                          \
       arriving[i] == 0 && in_force[(i + 1) % 3] > 0 ->                \
       arriving[i] = in_force[(i + 1) % 3]                             \
     }                                                                 \
  :: d_step {                                                          \
       arriving[i] == 0 && in_force[(i + 2) % 3] > 0 ->                \
       arriving[i] = in_force[(i + 2) % 3]                             \
     }                                                                 \
  :: d_step { arriving[i] > 0 -> arriving[i] = 0 }

#ifdef NO_VERSION_ORDER
#define NEWER(i) true
#else
#define NEWER(i) (arriving[i] > in_force[i])
#endif
/* An instance that handled an accepted submission adopts that version without
 * a fetch. A fetch of an older version may still be in flight then. */
#define ADOPT(i)                                                       \
  :: d_step {                                                          \
       arriving[i] > 0 && NEWER(i) ->                                  \
       assert(arriving[i] > in_force[i]);                              \
       in_force[i] = arriving[i];                                      \
       arriving[i] = 0                                                 \
     }                                                                 \
  :: d_step { head > in_force[i] -> in_force[i] = head }

#define RESTART(i)                                                     \
  :: d_step {                                                          \
       restarts < 2 && in_force[i] > 0 ->                              \
       restarts++;                                                     \
       in_force[i] = 0;                                                \
       arriving[i] = 0                                                 \
     }

/* Instance i receives the session's next request. */
#ifdef NO_TOKEN_CHECK
#define SERVES(i) (in_force[i] > 0)
#elif defined(NO_READY_CHECK)
#define SERVES(i) (in_force[i] >= token)
#else
#define SERVES(i) (in_force[i] > 0 && in_force[i] >= token)
#endif
#define SERVE(i)                                                       \
  :: d_step {                                                          \
       SERVES(i) ->                                                    \
       assert(in_force[i] > 0);                                        \
       assert(in_force[i] >= token);                                   \
       token = in_force[i]                                             \
     }

#define EACH_RUN(ACTION) \
  ACTION(0) ACTION(1) ACTION(2) ACTION(3) ACTION(4)
#define EACH_SUB(ACTION) ACTION(0) ACTION(1) ACTION(2)
#define EACH_INSTANCE(ACTION) ACTION(0) ACTION(1) ACTION(2)

active proctype platform() {
  do
#ifdef WITH_INSTANCES
  :: d_step { head < SUBS -> head++ }
  EACH_INSTANCE(FETCH)
  EACH_INSTANCE(ADOPT)
  EACH_INSTANCE(RESTART)
  EACH_INSTANCE(SERVE)
#else
  EACH_RUN(START)
  EACH_RUN(READ)
  EACH_RUN(DECIDE_STEP)
  EACH_RUN(READ_ROW)
  EACH_RUN(SEND)
  EACH_RUN(GIVE_UP)
  EACH_SUB(TAKE_EFFECT)
#endif
  od
}
