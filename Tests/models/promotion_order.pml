/* Models the orders of promotions of one group on the prepared platform. The
 * platform performs an order at any time within its life, whatever has become
 * of its sender, and can neither show it nor take it back. lease.pml assumes
 * that an order takes effect at once.
 *
 * Three targets have a term and may claim to lead. The platform's present
 * primary is the target of the order that took effect last; an order for it
 * changes nothing. A deposed target goes on claiming to lead until it hears of
 * a newer term or restarts. A target answers a holder at any moment or never.
 *
 * A holder of a change may pause or end at any point, and any other may take
 * the change over at any time; the promotion lock is left out. Only the attempt
 * to which the leader row belongs can write it, so an earlier attempt has no
 * effect but the order that it has recorded and may still send. Any number of
 * holders is covered by this. Leases and confirmations are abstracted: before a
 * holder orders or publishes, no instance acknowledges commits of the old
 * primary any more (`used`).
 *
 * Time passes in ticks, which only the life of orders restricts. All timers
 * count down, so the number of ticks is not bounded.
 *
 * Each rule that the proof needs is guarded by a macro NO_.... Defining the
 * macro removes the rule, and check_models then expects a violation.
 *
 * docs/promises.md maps the names to the code.
 */

#ifndef STARTS
#define STARTS 3   /* Attempts: changes, takeovers and repetitions. */
#endif
#ifndef ORDERS
#define ORDERS 3   /* Orders that are recorded. */
#endif
#ifndef WINDOW
#define WINDOW 1   /* kStoreCallTimeout: from the record of an order to sending
                    * it */
#endif
#ifndef LIFE
#define LIFE 1     /* kOrderLifetime: from sending an order to its effect */
#endif
#define TARGETS 3
#define SLOTS 4    /* At least ORDERS. */

byte starts = 0;
byte orders = 0;

/* The platform. */
byte lead = 0;
byte newest_term = 1;
byte term[TARGETS];
bool claims[TARGETS];

/* Orders that may still take effect. */
#define FREE 0
#define UNSENT 1    /* Recorded by its sender, which may still send it. */
#define SENT 2
#define ACCEPTED 3  /* Sent, and the sender has the platform's answer. */
byte order_state[SLOTS];
byte order_target[SLOTS];
byte order_left[SLOTS];     /* Ticks until it is not sent or performed. */

/* The leader row. */
byte primary = 0;
byte row_term = 1;
byte row_target = 0;        /* PendingOrders::target */
byte row_count = 0;
byte row_before = 0;        /* PendingOrders::term_before */
byte row_left = 0;          /* Ticks until a reader considers them ended. */
bool used = true;           /* Commits of `primary` are acknowledged. */

/* The attempt to which the row belongs. The row is open while it is IDLE. */
#define IDLE 0
#define QUIESCING 1
#define COLLECTING 2
#define ORDERING 3
#define SENDING 4
#define AWAITING 5
#define PUBLISHING 6
byte task = IDLE;
byte target = 0;            /* PrimaryChange::orders */
byte count = 0;
byte before = 0;
byte left = 0;              /* Ticks until it considers them ended. */
byte record_left = 0;       /* The same for a reader of their record. */
bool effect_seen = false;
byte candidate = 0;
byte candidate_term = 0;    /* While PUBLISHING. */
byte highest = 0;           /* The term_before of the order for `candidate`. */
bool claimed = false;       /* `candidate` already claimed to lead in it. */
bool had_ended = false;     /* The orders had ended at the collection. */
byte mine = 0;              /* Its order. */

hidden byte j;
hidden byte s;
hidden byte h;

/* When another order is recorded, earlier ones count as ended only if they had
 * ended when the statuses were collected. The effect of an order between the
 * collection and its end would be taken for that of the new one. */
#ifdef NO_STATUS_AFTER_END
#define ENDED (left == 0)
#else
#define ENDED had_ended
#endif
#ifdef NO_TERM_BEFORE
#define AFTER_ORDERS (term[s] > row_term)
#else
#define AFTER_ORDERS (term[s] > before)
#endif
#ifdef NO_SAME_TARGET
#define MAY_ORDER true
#else
#define MAY_ORDER (count == 0 || ENDED || candidate == target)
#endif
#ifdef NO_OLD_ORDERED
#define MAY_KEEP(s_) (s_ == primary)
#else
#define MAY_KEEP(s_) (s_ == primary && count == 0)
#endif
#ifdef NO_SEND_WINDOW
#define EXPIRES(k) (order_state[k] != UNSENT)
#else
#define EXPIRES(k) true
#endif
#ifdef NO_ACCEPTED_PERFORMED
#define HOLDS_TIME(k) false
#else
#define HOLDS_TIME(k) (order_state[k] == ACCEPTED && order_left[k] == 1)
#endif
#ifdef NO_CLAIM_WAIT
#define CLAIM_WAITED true
#else
#define CLAIM_WAITED (left == 0)
#endif
#ifdef NO_ACCEPTANCE
#define AFTER_LOST_ANSWER AWAITING
#else
#define AFTER_LOST_ANSWER COLLECTING
#endif

inline clear_choice() {
  candidate = 0;
  candidate_term = 0;
  highest = 0;
  claimed = false;
  had_ended = false;
  mine = 0
}

inline clear_attempt() {
  target = 0;
  count = 0;
  before = 0;
  left = 0;
  record_left = 0;
  effect_seen = false;
  clear_choice()
}

inline clear_order(k) {
  order_state[k] = FREE;
  order_target[k] = 0;
  order_left[k] = 0
}

#define COUNT_DOWN(v_) v_ = (v_ > 0 -> v_ - 1 : 0)

inline tick() {
  j = 0;
  do
  :: j < ORDERS ->
    if
    :: EXPIRES(j) ->
      COUNT_DOWN(order_left[j]);
      if
      :: order_left[j] == 0 -> clear_order(j)
      :: else
      fi
    :: else
    fi;
    j++
  :: else -> break
  od;
  j = 0;
  COUNT_DOWN(row_left);
  COUNT_DOWN(left);
  COUNT_DOWN(record_left)
}

/* An accepted order takes effect within its life, so time waits for it; see
 * HOLDS_TIME. An unanswered one may never do so. */
inline order(k) {
  if
  :: order_state[k] >= SENT -> atomic {
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
  /* The target restarts instead, and then leads only if it is the primary. */
  :: order_state[k] == ACCEPTED -> atomic {
      claims[order_target[k]] = (order_target[k] == lead);
      clear_order(k)
    }
  /* An earlier attempt sends its order. */
  :: order_state[k] == UNSENT && !(task == SENDING && mine == k) -> atomic {
      order_state[k] = SENT;
      order_left[k] = LIFE + 1
    }
  fi
}

/* Target t hears of target u, which claims to lead in a newer term. */
inline hear(t, u) {
  if
  :: claims[u] && term[u] > term[t] && t != lead ->
    atomic { term[t] = term[u]; claims[t] = false }
  fi
}

inline attempt() {
  if
  /* StartChange, by the same or another holder. Another start before the end of
   * the use of the primary would change nothing. */
  :: starts < STARTS && task != QUIESCING ->
    atomic {
      starts++;
      if
      :: task == AWAITING && order_state[mine] == ACCEPTED ->
        order_state[mine] = SENT
      :: else
      fi;
      clear_attempt();
      target = row_target;
      count = row_count;
      before = row_before;
      left = row_left;
      record_left = row_left;
      task = QUIESCING
    }
  :: task == QUIESCING -> atomic { used = false; task = COLLECTING }

  /* CollectStatuses: the status of target s is used; those of others count by
   * their terms. What is then decided may be done at any later time. */
  :: task == COLLECTING ->
    atomic {
      if
      :: s = 0
      :: s = 1
      :: s = 2
      fi;
      h = term[s];
      if
      :: true
      :: term[0] > h -> h = term[0]
      :: term[1] > h -> h = term[1]
      :: term[2] > h -> h = term[2]
      fi;
      had_ended = (left == 0);
      candidate = s;
      if
      /* FindLeadingTarget, and KeepPrimary without orders. */
      :: claims[s] && term[s] == h &&
         (MAY_KEEP(s) || (count > 0 && s == target && AFTER_ORDERS)) ->
        effect_seen = (count > 0 && !(s == primary && before < row_term));
        candidate_term = term[s];
        had_ended = false;
        task = PUBLISHING
      /* Promote */
      :: orders < ORDERS && (s != primary || count > 0) ->
        highest = (row_term > h -> row_term : h);
        claimed = (claims[s] && term[s] == highest);
        task = ORDERING
      :: true -> clear_choice()
      fi;
      s = 0;
      h = 0
    }
  :: task == ORDERING -> atomic { clear_choice(); task = COLLECTING }
  /* RecordOrder */
  :: task == ORDERING && MAY_ORDER ->
    atomic {
      orders++;
      had_ended = ENDED;
#ifndef NO_RECORD
      row_target = candidate;
      row_count = (had_ended -> 1 : count + 1);
      row_before = highest;
      row_left = WINDOW + LIFE + 1;
#endif
      mine = 0;
      do
      :: order_state[mine] != FREE -> mine++
      :: else -> break
      od;
      order_state[mine] = UNSENT;
      order_target[mine] = candidate;
      order_left[mine] = WINDOW + 1;
      task = SENDING
    }

  /* SendPromotion */
  :: task == SENDING && order_state[mine] == UNSENT ->
    atomic {
      if
      /* It was refused or not sent, and has no effect. */
      :: clear_order(mine);
        clear_choice();
        task = COLLECTING
      :: count = (had_ended -> 1 : count + 1);
        target = candidate;
        before = highest;
        if
        :: left < LIFE + 1 -> left = LIFE + 1
        :: else
        fi;
        record_left = LIFE + order_left[mine];
        order_left[mine] = LIFE + 1;
        had_ended = false;
        highest = 0;
        if
        :: order_state[mine] = ACCEPTED; task = AWAITING
        /* It arrived when its target was the primary, and changes nothing. */
        :: candidate == lead -> clear_order(mine); mine = 0; task = AWAITING
        /* The answer is lost. */
        :: order_state[mine] = SENT;
          task = AFTER_LOST_ANSWER;
          if
          :: task == COLLECTING -> clear_choice()
          :: else
          fi
        fi
      fi
    }
  /* The time for sending is over. */
  :: task == SENDING && order_state[mine] == FREE ->
    atomic { clear_choice(); task = COLLECTING }

  /* LeadsAfterPromotion */
  :: task == AWAITING && claims[candidate] &&
     (term[candidate] > before ||
      (claimed && term[candidate] == before && CLAIM_WAITED)) ->
    atomic {
      effect_seen = (term[candidate] > before);
      candidate_term = term[candidate];
      claimed = false;
      mine = 0;
      task = PUBLISHING
    }

  :: task == PUBLISHING ->
    atomic {
      used = true;
      primary = candidate;
      row_term = candidate_term;
      row_target = target;
      row_before = before;
      row_count = count;
      row_left = record_left;
      if
      :: left == 0 -> row_count = 0
      :: left != 0 && effect_seen && count > 0 -> row_count--
      :: else
      fi;
#ifdef NO_PASSED_ON
      row_count = 0;
#endif
      if
      :: row_count == 0 -> row_target = 0; row_before = 0; row_left = 0
      :: else
      fi;
      clear_attempt();
      task = IDLE
    }
  fi
}

/* A tick changes nothing if no timer runs. */
#define COUNTING                                                             \
  (order_left[0] || order_left[1] || order_left[2] || order_left[3] ||       \
   row_left || left || record_left)
#define MAY_TICK                                                             \
  (!HOLDS_TIME(0) && !HOLDS_TIME(1) && !HOLDS_TIME(2) && !HOLDS_TIME(3))

init {
  atomic {
    term[0] = 1;
    term[1] = 1;
    term[2] = 1;
    claims[0] = true
  };
  do
  :: used && lead != primary -> assert(false)
  :: COUNTING && MAY_TICK -> atomic { tick() }
  :: order(0)
  :: order(1)
  :: order(2)
  :: order(3)
  :: hear(0, 1)
  :: hear(0, 2)
  :: hear(1, 0)
  :: hear(1, 2)
  :: hear(2, 0)
  :: hear(2, 1)
  :: attempt()
  od
}
