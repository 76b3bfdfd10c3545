/* Models a store that returns from an older copy, with one group. Each return
 * raises the era and begins with no rows of the new era; instances find the
 * primary again from their leases or from the targets.
 *
 * An instance uses the primary of the leader row while its lease is valid. It
 * learns of an era from an answer of the store or from another instance, may
 * restart at any time and then has forgotten everything. A change of primary
 * records one order of a promotion, which the platform performs at any time
 * within its life or never, whatever has become of its sender. A transaction
 * that creates or publishes a leader row may be performed at any later time.
 *
 * A reading that shows a change ends the use of the primary and confirms it.
 * Statuses of targets are taken one after the other. Rows of earlier
 * eras that the copy shows, and the terms in them, are left out: in the code
 * they only forbid some choices. A change that begins without a leader may order
 * any target.
 *
 * No step is forced, so that an instance may be paused or cut off at any point.
 * Timers count down, so that time has no bound. States that differ only in what
 * can have no effect any more are merged; ALL_STATES keeps them apart.
 *
 * Left out, because other models have them: extensions of leases by peers and by
 * unanimity, the use of a primary between the reading of a change and its
 * confirmation (lease.pml); rows of removed members (removed_member.pml);
 * takeovers, repeated orders and orders for a target that already leads
 * (promotion_order.pml). A change may end without a result here.
 *
 * Each rule that the proof needs is guarded by a macro NO_.... Defining the
 * macro removes the rule, and check_models then expects a violation.
 *
 * docs/promises.md maps the names to the code.
 */

#ifndef RETURNS
#define RETURNS 2
#endif
#ifndef CHANGES
#define CHANGES 2    /* Changes of primary that are started, at most 2. */
#endif
#ifndef RESTARTS
#define RESTARTS 1   /* Restarts of instances. */
#endif
#define INSTANCES 2
#define TARGETS 2
#ifndef LEASE
#define LEASE 1      /* kLeaderLease; longer than WINDOW. */
#endif
#ifndef WINDOW
#define WINDOW 0     /* kStoreCallTimeout: from the record of an order to sending
                      * it */
#endif
#ifndef LIFE
#define LIFE 1       /* kOrderLifetime: from sending an order to its effect */
#endif
#define ORDER_WAIT (WINDOW + LIFE + 1)  /* kRecordedOrderLifetime */
#define BIT(i) (1 << (i))
#define ALL_TARGETS ((1 << TARGETS) - 1)

/* The store. A row's version is the number of writes in its era. */
#define NONE 0
#define OPEN 1
#define CHANGING 2
byte era = 0;
byte row = OPEN;
byte row_primary = 0;
byte row_version = 1;
byte registered = (1 << INSTANCES) - 1;  /* Bit set of the member rows. */

/* The platform. */
byte lead = 0;
byte newest_term = 1;
byte term[TARGETS] = 1;
bool claims[TARGETS];
byte highest_token = 0;

/* The order of each change. */
#define UNSENT 1
#define SENT 2
byte changes = 0;
byte restarts = 0;
byte order_state[2];
byte order_target[2];
byte order_left[2];   /* Ticks until it is not sent or performed. */
byte order_token[2];

/* Instances. */
byte my_era[INSTANCES];
bool loaded[INSTANCES];        /* The table was read in this era. */
byte known[INSTANCES];         /* The leader row as it was last read. */
byte known_primary[INSTANCES];
byte known_version[INSTANCES];
byte lease[INSTANCES];         /* Ticks until it ends. */
byte confirmed[INSTANCES];     /* Version of the change that it confirmed. */
byte earlier[INSTANCES];       /* EarlierLeader::leader, a primary */
byte earlier_lease[INSTANCES]; /* Ticks until EarlierLeader::lease_end */
bool proven[INSTANCES];        /* EarlierLeader::proven */
byte leases_left[INSTANCES];   /* Ticks until leases of earlier eras end. */
byte orders_left[INSTANCES];   /* Ticks until orders of earlier eras end. */

/* The change that the instance carries out. */
#define WAITING 1
#define QUIESCED 2
#define AWAITING 3
byte task[INSTANCES];
byte task_version[INSTANCES];
byte task_change[INSTANCES];
byte missing[INSTANCES];       /* Members that have not confirmed. */
byte missing_left[INSTANCES];  /* Ticks until their leases have ended. */
byte candidate[INSTANCES];
byte before[INSTANCES];        /* The candidate's term when it was ordered. */

/* A transaction in flight to the store. */
#define CREATE 1
#define PUBLISH 2
byte sent[INSTANCES];
byte sent_era[INSTANCES];
byte sent_version[INSTANCES];  /* Expected version of the leader row. */
byte sent_primary[INSTANCES];

/* The targets' answers to the instance that looks for a first leader. One
 * instance asks at a time. */
byte asker = 0;                /* Instance + 1 */
byte answered = 0;             /* Bit set */
byte highest = 0;              /* Highest term in the answers. */
byte best = 0;                 /* Target that leads in the highest term. */
byte best_term = 0;            /* 0 if no target leads. */

hidden byte j;

#ifdef NO_PROOF
#define PROOF(i) (known[i] == OPEN)
#else
#define PROOF(i) (known[i] == OPEN && lease[i] > 0)
#endif
#ifdef NO_ORDER_WAIT
#define ORDERS_ENDED(i) true
#else
#define ORDERS_ENDED(i) (orders_left[i] == 0)
#endif
#ifdef NO_STATUS_AFTER_END
#define MAY_ASK(i) true
#define ANSWERS_COUNT(i) ORDERS_ENDED(i)
#else
#define MAY_ASK(i) ORDERS_ENDED(i)
#define ANSWERS_COUNT(i) true
#endif
#ifdef NO_HIGHEST_TERM
#define LEADER_FOUND (best_term > 0)
#else
#define LEADER_FOUND \
  (answered == ALL_TARGETS && best_term > 0 && best_term == highest)
#endif
#ifdef NO_EARLIER_LEASE_WAIT
#define EARLIER_LEASES_ENDED(i) true
#else
#define EARLIER_LEASES_ENDED(i) (leases_left[i] == 0)
#endif
#ifdef NO_ERA_KEYS
#define IN_ERA(i) true
#else
#define IN_ERA(i) (sent_era[i] == era)
#endif
#ifdef NO_ERA_OF_CONFIRMATIONS
#define SAME_ERA(i, j_) true
#else
#define SAME_ERA(i, j_) (my_era[i] == my_era[j_])
#endif
#ifdef NO_ERA_IN_TOKENS
#define TOKEN(i) task_version[i]
#else
#define TOKEN(i) (16 * my_era[i] + task_version[i])
#endif

inline stop_asking(i) {
  if
  :: asker == i + 1 ->
    asker = 0;
    answered = 0;
    highest = 0;
    best = 0;
    best_term = 0
  :: else
  fi
}

inline clear_sent(i) {
  sent[i] = NONE;
  sent_era[i] = 0;
  sent_version[i] = 0;
  sent_primary[i] = 0
}

/* Forgets a transaction that can no longer have an effect, as versions only
 * grow within an era. */
inline drop_outdated(i) {
#if !defined(NO_ERA_KEYS) && !defined(ALL_STATES)
  if
  :: sent[i] != NONE &&
     (sent_era[i] != era || sent_version[i] != row_version) ->
    clear_sent(i)
  :: else
  fi
#else
  skip
#endif
}

inline end_task(i) {
  task[i] = 0;
  task_version[i] = 0;
  task_change[i] = 0;
  missing[i] = 0;
  missing_left[i] = 0;
  candidate[i] = 0;
  before[i] = 0
}

inline forget_row(i) {
  known[i] = NONE;
  known_primary[i] = 0;
  known_version[i] = 0;
  lease[i] = 0
}

/* LeadershipView::BeginEra */
inline begin_era(i, e_) {
  if
  :: known[i] != NONE ->
    earlier[i] = known_primary[i];
    earlier_lease[i] = (PROOF(i) -> (lease[i] > 0 -> lease[i] : 1) : 0)
  :: else
  fi;
  proven[i] = (earlier_lease[i] > 0);
  if
  :: !proven[i] -> earlier[i] = 0
  :: else
  fi;
  my_era[i] = e_;
  loaded[i] = false;
  leases_left[i] = 0;
  orders_left[i] = 0;
#ifndef NO_LEASE_END
  forget_row(i);
#endif
#ifndef NO_ERA_OF_CONFIRMATIONS
  confirmed[i] = 0;
#endif
  end_task(i);
  stop_asking(i)
}

/* Forgets what an instance that has missed an era can no longer use. */
inline age_out(i) {
#if !defined(NO_PROOF) && !defined(NO_LEASE_END) && \
    !defined(NO_ERA_KEYS) && !defined(ALL_STATES)
  if
  :: my_era[i] != era ->
    end_task(i);
    if
    :: lease[i] == 0 ->
      if
      :: known[i] != NONE -> earlier_lease[i] = 0
      :: else
      fi;
      forget_row(i);
      if
      :: earlier_lease[i] == 0 -> proven[i] = false; earlier[i] = 0
      :: else
      fi
    :: else
    fi
  :: else
  fi
#else
  skip
#endif
}

inline read_store(i) {
  if
  :: my_era[i] < era -> begin_era(i, era)
  :: else
  fi;
  if
  :: !loaded[i] ->
    loaded[i] = true;
    leases_left[i] = LEASE;
    orders_left[i] = ORDER_WAIT
  :: else
  fi;
  if
#ifdef NO_LEASE_END
  :: row == NONE
#endif
  :: else ->
    known[i] = row;
    known_primary[i] = row_primary;
    known_version[i] = row_version
  fi;
  if
  :: known[i] == CHANGING -> confirmed[i] = known_version[i]
  :: else
  fi;
  if
  :: known[i] != NONE -> orders_left[i] = 0; proven[i] = false
  :: else
  fi;
  lease[i] = (known[i] == OPEN && (registered & BIT(i)) -> LEASE : 0)
}

#define CURRENT(i) \
  (loaded[i] && my_era[i] == era && known[i] == row && \
   known_version[i] == row_version)

inline start_change(i) {
  row = CHANGING;
  row_primary = 0;
  row_version++;
  known[i] = CHANGING;
  known_primary[i] = 0;
  lease[i] = 0;
  orders_left[i] = 0;
  proven[i] = false;
  known_version[i] = row_version;
  confirmed[i] = row_version;
  task[i] = WAITING;
  task_version[i] = row_version;
  task_change[i] = changes;
  missing[i] = registered & ~BIT(i);
  missing_left[i] = LEASE;
  changes++;
  stop_asking(i);
  drop_outdated(0);
  drop_outdated(1)
}

inline instance(i) {
  if
  :: my_era[i] != era || !loaded[i] || known_version[i] != row_version ||
     ((registered & BIT(i)) && known[i] == OPEN && lease[i] != LEASE) ->
    d_step { read_store(i) }
  /* An answer to another call, which shows the era only. */
  :: my_era[i] < era -> d_step { begin_era(i, era) }
  :: my_era[i] < my_era[1 - i] -> d_step { begin_era(i, my_era[1 - i]) }
  :: loaded[i] && my_era[i] == era && !(registered & BIT(i)) ->
    registered = registered | BIT(i)
  /* The instance restarts. */
  :: restarts < RESTARTS -> d_step {
      restarts++;
      forget_row(i);
      my_era[i] = 0;
      loaded[i] = false;
      confirmed[i] = 0;
      earlier[i] = 0;
      earlier_lease[i] = 0;
      proven[i] = false;
      leases_left[i] = 0;
      orders_left[i] = 0;
      registered = registered & ~BIT(i);
      end_task(i);
      stop_asking(i)
    }

  /* It acknowledges a commit. */
  :: lease[i] > 0 && known[i] == OPEN && known_primary[i] != lead ->
    assert(false)

  /* FirstLeader::Propose */
  :: loaded[i] && known[i] == NONE && proven[i] && sent[i] == NONE ->
    d_step {
      sent[i] = CREATE;
      sent_era[i] = my_era[i];
      sent_version[i] = 0;
      sent_primary[i] = earlier[i]
    }
  :: loaded[i] && known[i] == NONE && !proven[i] && asker == 0 &&
     MAY_ASK(i) ->
    asker = i + 1
  /* FirstLeader::Decide */
  :: asker == i + 1 && known[i] == NONE && ANSWERS_COUNT(i) && LEADER_FOUND &&
     sent[i] == NONE ->
    d_step {
      sent[i] = CREATE;
      sent_era[i] = my_era[i];
      sent_version[i] = 0;
      sent_primary[i] = best;
      stop_asking(i)
    }
  :: asker == i + 1 -> d_step { stop_asking(i) }
  :: row == NONE && CURRENT(i) && !proven[i] && ORDERS_ENDED(i) &&
     changes < CHANGES ->
    d_step { start_change(i) }

  :: row == OPEN && CURRENT(i) && lease[i] > 0 && changes < CHANGES ->
    d_step { start_change(i) }
  :: task[i] == WAITING && (missing[i] & BIT(1 - i)) &&
     SAME_ERA(i, 1 - i) &&
     confirmed[1 - i] >= task_version[i] ->
    missing[i] = missing[i] & ~BIT(1 - i)
  :: task[i] == WAITING && EARLIER_LEASES_ENDED(i) &&
     (missing[i] == 0 || missing_left[i] == 0) ->
    d_step { task[i] = QUIESCED; missing[i] = 0; missing_left[i] = 0 }
  /* RecordOrder */
  :: task[i] == QUIESCED && my_era[i] == era &&
     row_version == task_version[i] ->
    atomic {
      row_version++;
      drop_outdated(0);
      drop_outdated(1);
      if
      :: candidate[i] = 0
      :: candidate[i] = 1
      fi;
      before[i] = term[candidate[i]];
      order_state[task_change[i]] = UNSENT;
      order_target[task_change[i]] = candidate[i];
      order_left[task_change[i]] = WINDOW + 1;
      order_token[task_change[i]] = TOKEN(i);
      task_version[i] = row_version;
      task[i] = AWAITING
    }
  /* LeadsAfterPromotion, PublishLeader */
  :: task[i] == AWAITING && sent[i] == NONE && claims[candidate[i]] &&
     term[candidate[i]] > before[i] ->
    d_step {
      sent[i] = PUBLISH;
      sent_era[i] = my_era[i];
      sent_version[i] = task_version[i];
      sent_primary[i] = candidate[i];
      end_task(i)
    }

  /* The transaction is performed, or is lost. */
  :: sent[i] != NONE ->
    atomic {
      if
      :: IN_ERA(i) && row_version == sent_version[i] ->
        row = OPEN;
        row_primary = sent_primary[i];
        row_version++
      :: true
      fi;
      clear_sent(i);
      drop_outdated(1 - i)
    }
  fi
}

/* Target t answers the asker. */
inline answer(t) {
  if
  :: asker != 0 && !(answered & BIT(t)) ->
    d_step {
      answered = answered | BIT(t);
      if
      :: term[t] > highest -> highest = term[t]
      :: else
      fi;
      if
      :: claims[t] && term[t] > best_term -> best = t; best_term = term[t]
      :: else
      fi
    }
  fi
}

inline clear_order(k) {
  order_state[k] = 0;
  order_target[k] = 0;
  order_left[k] = 0;
  order_token[k] = 0
}

inline order(k) {
  if
  :: order_state[k] == UNSENT ->
    d_step {
      assert(order_token[k] > highest_token);
      highest_token = order_token[k];
      order_token[k] = 0;
      order_state[k] = SENT;
      order_left[k] = LIFE + 1
    }
  :: order_state[k] == SENT ->
    d_step {
      if
      :: order_target[k] != lead ->
        newest_term++;
        lead = order_target[k];
        term[lead] = newest_term;
        claims[lead] = true
      :: else
      fi;
      clear_order(k)
    }
  fi
}

/* A deposed target hears of the present primary. */
inline hear(t) {
  if
  :: claims[t] && t != lead ->
    d_step { term[t] = newest_term; claims[t] = false }
  fi
}

#define COUNT_DOWN(v_) v_ = (v_ > 0 -> v_ - 1 : 0)
#define TIMERS(i) \
  (lease[i] || earlier_lease[i] || leases_left[i] || orders_left[i] || \
   missing_left[i])
#define COUNTING (TIMERS(0) || TIMERS(1) || order_left[0] || order_left[1])

inline tick() {
  j = 0;
  do
  :: j < INSTANCES ->
    COUNT_DOWN(lease[j]);
#ifndef NO_PROOF_END
    COUNT_DOWN(earlier_lease[j]);
#endif
    COUNT_DOWN(leases_left[j]);
    COUNT_DOWN(orders_left[j]);
    COUNT_DOWN(missing_left[j]);
    j++
  :: else -> break
  od;
  j = 0;
  do
  :: j < CHANGES ->
    if
    :: order_left[j] == 1 -> clear_order(j)
    :: order_left[j] > 1 -> order_left[j]--
    :: else
    fi;
    j++
  :: else -> break
  od;
  j = 0;
  age_out(0);
  age_out(1)
}

init {
  atomic {
    claims[0] = true;
    loaded[0] = true;
    loaded[1] = true;
    known[0] = OPEN;
    known[1] = OPEN;
    known_version[0] = 1;
    known_version[1] = 1
  };
  do
  :: COUNTING -> d_step { tick() }
  :: era < RETURNS ->
    d_step {
      era++;
      row = NONE;
      row_primary = 0;
      row_version = 0;
      registered = 0;
      drop_outdated(0);
      drop_outdated(1);
      age_out(0);
      age_out(1)
    }
  :: order(0)
  :: order(1)
  :: hear(0)
  :: hear(1)
  :: answer(0)
  :: answer(1)
  :: instance(0)
  :: instance(1)
  od
}
