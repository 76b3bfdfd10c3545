/* Models how member instances use and replace the primary of one group on the
 * prepared platform: with leases, conditional transactions of the row store and
 * ordered promotions. Replacing the primary is called a change, and the instance
 * that carries it out is the change's holder.
 *
 * Instances 0 and 1 are members from the start. Instance 2 joins later, either
 * at a new address or, with IN_PLACE, as instance 0 started again: it answers at
 * that address and under that name, and may read the store and write its member
 * row at any later time. Instance 1 neither starts a change nor ends, because
 * exchanging the roles of instances 0 and 1 would lead to equivalent states.
 *
 * No step is forced, so an instance may be paused, cut off or unresponsive at
 * any point, and an answer of the store may be lost. A transaction that its sender
 * has given up on may still be performed later. Only the clock restricts the
 * instances: a read of the store gives a lease of LEASE ticks.
 *
 * Each rule that the proof needs is guarded by a macro NO_.... Defining the
 * macro removes the rule, and check_models then expects a violation.
 *
 * docs/promises.md maps the names to the code.
 */

#ifndef TICKS
#define TICKS 3
#endif
#ifndef CHANGES
#define CHANGES 2     /* Number of changes that may be published. */
#endif
#ifndef HOLDERS
#define HOLDERS 5     /* Bit set of the instances that may start a change. */
#endif
#ifndef JOINS
#define JOINS 1       /* Instance 2 may join. */
#endif
#ifndef READERS
#define READERS 7     /* Bit set of the instances that reach the store. */
#endif
#ifndef KILLS
#define KILLS 1       /* Instance 0 may end. */
#endif
#ifndef PARTED
#define PARTED 0      /* Instance 2 and the others cannot reach each other. */
#endif
#ifndef LATE
#define LATE 1        /* A transaction may be performed late. */
#endif
#ifndef WITH_UNANIMITY
#define WITH_UNANIMITY 1
#endif
#ifndef WITH_VOUCHING
#define WITH_VOUCHING 1
#endif
#ifndef LEASE
#define LEASE 2       /* kLeaderLease */
#endif
#define DUTY 1        /* kPromotionLockLease */
#define TAKEOVER 2    /* kTakeoverAfter */
#define UNANIMITY 2   /* kUnanimityLimit, in ticks since the last read. */
/* Times that matter only to a second change are tracked only if there is one. */
#define REPEATED (CHANGES > 1)
#define VERSIONS (2 * CHANGES + 3)
#define BIT(i) (1 << (i))
#define IN(i, v_) ((mem[v_] >> (i)) & 1)

byte now = LEASE;  /* A lease that starts at time 0 has expired. */

/* The store, as the state of its rows after each version. */
byte version = 0;
byte leader_row[VERSIONS];   /* Version of the leader row. */
byte epoch[VERSIONS];
byte change_epoch[VERSIONS]; /* First epoch of the change in progress. */
bool changing[VERSIONS];
byte primary[VERSIONS];      /* Identified by the epoch of its promotion. */
byte holder[VERSIONS];       /* Holder of the change. */
byte mem[VERSIONS];          /* Bit set of the member rows. */
byte duty_row[VERSIONS];     /* Version of the promotion lock row; the token. */
byte duty_holder[VERSIONS];  /* Instance + 1; 0 if the lock is free. */

/* The platform. */
byte ordered = 0;            /* Primary of the newest ordered promotion. */
byte highest_token = 0;

/* Instances. */
bool alive[3];
bool registered[3];          /* It has written its member row. */
byte reading[3];             /* Version at the last read of the store. */
byte known[3];               /* Version whose leader row the instance knows. */
byte as_of[3];               /* Time from which the lease counts. */
byte true_as_of[3];          /* The same, without extensions by unanimity. */
byte usable_until[3];        /* End of the lease held before the change. */
byte confirmed[3];           /* Highest change epoch that it has confirmed. */
byte duty_seen[3];           /* When the lock row's version was first seen. */
byte leader_seen[3];
bool store_unreachable[3];   /* The last poll failed. */

/* A round of queries to the other members while the store is unreachable. */
byte round_at[3];
byte agreeing[3];

/* A transaction in flight to the store. */
#define NONE 0
#define CHANGE 1
#define PUBLISH 2
byte sent[3];
byte if_leader[3];           /* Expected version of the leader row. */
byte if_duty[3];
byte sent_expired[3];        /* Members whose rows a publication deletes. */
byte performed[3];           /* Version that the store gave it; 0 if none. */

/* The change that the instance carries out. */
#define ANNOUNCING 1
#define WAITING 2
#define QUIESCED 3
#define PROMOTED 4
byte task[3];
byte task_epoch[3];
byte task_version[3];
byte change_seen[3];         /* When the instance first knew of the change. */
byte expired[3];             /* Bit set of the members that did not confirm. */
byte confirmed_by[3];        /* Bit set of the members that confirmed. */
byte first_confirmed_at[3];  /* When the first member confirmed. */
byte token[3];
byte token_since[3];
byte sent_at[3];

hidden byte j;
hidden byte ok;

#ifdef NO_OWN_ROW
#define HAS_ROW(i) true
#else
#define HAS_ROW(i) IN(i, reading[i])
#endif
#define LEASE_VALID(i) (now < as_of[i] + LEASE && HAS_ROW(i))

#ifdef NO_LEASE_CHECK
#define MAY_ACKNOWLEDGE(i) !changing[known[i]]
#else
#define MAY_ACKNOWLEDGE(i)                                   \
  (LEASE_VALID(i) &&                                         \
   (!changing[known[i]] ||                                   \
    (now < usable_until[i] &&                                \
     confirmed[i] < change_epoch[known[i]])))
#endif

#ifdef NO_FIRST_END
#define FIRST_SEEN(i) true
#else
#define FIRST_SEEN(i) !changing[known[i]]
#endif

/* Applies the leader row of version v_ if it is newer. */
inline learn(i, v_) {
  if
  :: leader_row[v_] > leader_row[known[i]] ->
    if
    :: changing[v_] && FIRST_SEEN(i) ->
      usable_until[i] = as_of[i] + LEASE;
      change_seen[i] = now
    :: else
    fi;
    known[i] = v_;
    leader_seen[i] = now * REPEATED;
    if
    :: task[i] >= WAITING && epoch[v_] > task_epoch[i] -> task[i] = 0
    :: else
    fi
  :: else
  fi
}

inline store_next() {
  version++;
  leader_row[version] = leader_row[version - 1];
  epoch[version] = epoch[version - 1];
  change_epoch[version] = change_epoch[version - 1];
  changing[version] = changing[version - 1];
  primary[version] = primary[version - 1];
  holder[version] = holder[version - 1];
  mem[version] = mem[version - 1];
  duty_row[version] = duty_row[version - 1];
  duty_holder[version] = duty_holder[version - 1]
}

#ifdef NO_CONDITIONAL_WRITE
#define CONDITION(i) true
#else
#define CONDITION(i)                             \
  (leader_row[version] == if_leader[i] &&        \
   (sent[i] == PUBLISH || duty_row[version] == if_duty[i]))
#endif

inline perform(i) {
  if
  :: CONDITION(i) && version < VERSIONS - 1 ->
    store_next();
    leader_row[version] = version;
    epoch[version] = epoch[version - 1] + 1;
    if
    :: sent[i] == CHANGE ->
      if
      :: !changing[version - 1] -> change_epoch[version] = epoch[version]
      :: else
      fi;
      changing[version] = true;
      holder[version] = i;
      duty_row[version] = version;
      duty_holder[version] = i + 1
    :: else ->
      changing[version] = false;
      primary[version] = epoch[version] - 1;
      mem[version] = mem[version] & ~sent_expired[i]
    fi;
    performed[i] = version
  :: else
  fi;
  sent[i] = NONE
}

/* True if member m_ has confirmed to holder i. */
#define CONFIRMED(i, m_) ((confirmed_by[i] >> (m_)) & 1)

/* The holder waits until the leases of unresponsive members have expired. */
#ifdef NO_LEASE_WAIT
#define LEASES_OVER(i) true
#else
#define LEASES_OVER(i) (now >= wait_from + LEASE)
#endif
#ifdef NO_VIEW_OF_PUBLICATION
#define VIEW_CURRENT(i) true
#else
#define VIEW_CURRENT(i) (reading[i] >= task_version[i])
#endif
hidden byte wait_from;
hidden byte unresponsive;

/* An unresponsive member m_ may extend its lease if all members that it knows
 * agree. It can no longer do so if it knows the holder or a member that has
 * confirmed. Instances 0 and 1 know each other, and they know instance 2 if it
 * runs at the address of instance 0. */
#if defined(NO_KNOWN_WITNESS) || defined(IN_PLACE)
#define WITNESSED(m_, i) true
#else
#define WITNESSED(m_, i) ((i) < 2 || CONFIRMED(i, 1 - (m_)))
#endif

inline quiesce(i) {
  unresponsive = mem[reading[i]] & ~confirmed_by[i] & ~BIT(i);
  wait_from = change_seen[i];
  if
  :: unresponsive == 0 && VIEW_CURRENT(i) -> task[i] = QUIESCED; expired[i] = 0
  :: else ->
    if
    :: confirmed_by[i] != 0 && first_confirmed_at[i] > wait_from ->
      wait_from = first_confirmed_at[i]
    :: else
    fi;
    j = 0;
    ok = true;
    do
    :: j < 3 && ((unresponsive >> j) & 1) ->
      ok = ok && WITNESSED(j, i);
      j++
    :: j < 3 && !((unresponsive >> j) & 1) -> j++
    :: j == 3 -> break
    od;
    if
    :: !ok -> wait_from = change_seen[i] + UNANIMITY
    :: else
    fi;
    if
    :: LEASES_OVER(i) -> task[i] = QUIESCED; expired[i] = unresponsive
    :: else
    fi
  fi;
  j = 0;
  unresponsive = 0;
  wait_from = 0;
  ok = false
}

#ifdef NO_DUTY_LEASE
#define DUTY_VALID(i) true
#else
#define DUTY_VALID(i) (!REPEATED || now <= token_since[i] + DUTY)
#endif
#define GONE(i, h_) (!IN(h_, reading[i]))
#define DUTY_FREE(i)                                          \
  (duty_holder[reading[i]] == 0 ||                            \
   duty_holder[reading[i]] == i + 1 ||                        \
   GONE(i, duty_holder[reading[i]] - 1) ||                    \
   now > duty_seen[i] + TAKEOVER)
#define MAY_START(i)                                          \
  (!changing[known[i]] || holder[known[i]] == i ||            \
   GONE(i, holder[known[i]]) || now > leader_seen[i] + TAKEOVER)

#ifdef NO_VERSION_MATCH
#define SAME_ROW(i, j_) true
#else
#define SAME_ROW(i, j_) (leader_row[known[i]] == leader_row[known[j_]])
#endif
#ifdef NO_CONTINUOUS_LEASE
#define STILL_LEASED(i) true
#else
#define STILL_LEASED(i) (now < as_of[i] + LEASE)
#endif
#ifdef NO_UNANIMITY_LIMIT
#define WITHIN_LIMIT(i) true
#else
#define WITHIN_LIMIT(i) (round_at[i] <= true_as_of[i] + UNANIMITY)
#endif

/* The process that answers as member m_. */
#ifdef IN_PLACE
#define AT(m_) ((m_) == 0 && alive[2] -> 2 : (m_))
#else
#define AT(m_) (m_)
#endif

/* It has neither read the store nor learnt of a leader row. */
#define HAS_READ_NOTHING(i) (as_of[i] == 0 && known[i] == 0)

/* Only a member's own answer counts. A member that has ended gives none, nor
 * does one that runs but whose connections are refused. */
#ifdef NO_OWN_ANSWER
#define REFUSED_AGREES(i, j_) (alive[j_] && STILL_LEASED(i))
#else
#define REFUSED_AGREES(i, j_) false
#endif
#define ANSWER_AGREES(i, j_)                                  \
  (alive[j_] && store_unreachable[j_] && task[j_] == 0 &&     \
   ((!HAS_READ_NOTHING(j_) && SAME_ROW(i, j_)) ||             \
    (HAS_READ_NOTHING(j_) && STILL_LEASED(i))))

inline agree(i, m_) {
  if
  :: ANSWER_AGREES(i, AT(m_)) || REFUSED_AGREES(i, AT(m_)) ->
    agreeing[i] = agreeing[i] | BIT(m_)
  fi
}

#ifdef NO_MEMBER_KNOWN
#define MEMBER_KNOWN(i, j_) true
#else
#define MEMBER_KNOWN(i, j_) IN(i, reading[j_])
#endif

inline step(i) {
  if
  /* The instance reads the store. */
  :: alive[i] && ((READERS >> i) & 1) &&
     (reading[i] != version || as_of[i] != now ||
      store_unreachable[i]) ->
    atomic {
      if
      :: duty_row[version] != duty_row[reading[i]] -> duty_seen[i] = now * REPEATED
      :: else
      fi;
      learn(i, version);
      reading[i] = version;
      known[i] = version;
      as_of[i] = now;
      true_as_of[i] = now * WITH_UNANIMITY;
      store_unreachable[i] = false;
      round_at[i] = 0;
      agreeing[i] = 0
    }
  :: WITH_UNANIMITY && alive[i] && !store_unreachable[i] ->
    store_unreachable[i] = true

  /* It acknowledges a commit of the primary that it uses. */
  :: alive[i] && MAY_ACKNOWLEDGE(i) && ordered != primary[known[i]] ->
    assert(false)

  /* It ends its use of the primary. */
  :: alive[i] && changing[known[i]] && confirmed[i] < epoch[known[i]] ->
    confirmed[i] = epoch[known[i]]

  /* It starts a change. */
  :: alive[i] && ((HOLDERS >> i) & 1) && task[i] == 0 && sent[i] == NONE && LEASE_VALID(i) &&
     DUTY_FREE(i) && MAY_START(i) && epoch[version] < 2 * CHANGES - 1 ->
    atomic {
      task[i] = ANNOUNCING;
      task_epoch[i] = epoch[known[i]] + 1;
      sent[i] = CHANGE;
      sent_at[i] = now * REPEATED;
      performed[i] = 0;
      if_leader[i] = leader_row[known[i]];
      if_duty[i] = duty_row[reading[i]]
    }
  :: sent[i] != NONE -> atomic { perform(i) }
  :: alive[i] && task[i] == ANNOUNCING && performed[i] != 0 ->
    atomic {
      task[i] = WAITING;
      task_version[i] = performed[i];
      token[i] = performed[i];
      token_since[i] = sent_at[i];
      confirmed_by[i] = 0;
      first_confirmed_at[i] = 0;
      learn(i, performed[i]);
      confirmed[i] = epoch[known[i]];
      performed[i] = 0
    }
  :: alive[i] && task[i] == ANNOUNCING && (LATE || sent[i] == NONE) ->
    task[i] = 0

  /* It receives the confirmation of another member. */
  :: !PARTED && alive[i] && task[i] == WAITING ->
    atomic {
      j = 0;
      do
      :: j < 3 && j != i && !CONFIRMED(i, j) && registered[j] &&
         confirmed[j] >= task_epoch[i] ->
        confirmed_by[i] = confirmed_by[i] | BIT(j);
        if
        :: first_confirmed_at[i] == 0 ->
          first_confirmed_at[i] = now * WITH_UNANIMITY
        :: else
        fi;
        break
      :: j < 2 -> j++
      :: j == 2 -> break
      od;
      j = 0
    }
  /* It announces its change to another member. */
  :: !PARTED && alive[i] && task[i] >= WAITING ->
    if
    :: alive[0] && i != 0 -> atomic { learn(0, task_version[i]) }
    :: alive[1] && i != 1 -> atomic { learn(1, task_version[i]) }
    :: alive[2] && i != 2 -> atomic { learn(2, task_version[i]) }
    fi
  :: alive[i] && task[i] == WAITING -> atomic { quiesce(i) }
  :: alive[i] && task[i] == QUIESCED && DUTY_VALID(i) &&
     duty_row[reading[i]] <= token[i] ->
    atomic {
      assert(token[i] >= highest_token);
      highest_token = token[i];
      ordered = task_epoch[i];
      task[i] = PROMOTED
    }
  :: alive[i] && task[i] == PROMOTED && sent[i] == NONE ->
    atomic {
      sent[i] = PUBLISH;
      if_leader[i] = task_version[i];
      sent_expired[i] = expired[i];
      performed[i] = 0;
      task[i] = 0
    }

  /* It queries the other members while the store is unreachable. */
  :: WITH_UNANIMITY && alive[i] && store_unreachable[i] && round_at[i] != now ->
    atomic { round_at[i] = now; agreeing[i] = 0 }
  :: alive[i] && round_at[i] != 0 && i != 0 && IN(0, reading[i]) &&
     !(agreeing[i] & 1) -> atomic { agree(i, 0) }
  :: alive[i] && round_at[i] != 0 && i != 1 && IN(1, reading[i]) &&
     !(agreeing[i] & 2) -> atomic { agree(i, 1) }
  :: alive[i] && round_at[i] != 0 && i != 2 && IN(2, reading[i]) &&
     !(agreeing[i] & 4) -> atomic { agree(i, 2) }
  :: alive[i] && round_at[i] > as_of[i] && WITHIN_LIMIT(i) &&
     agreeing[i] == (mem[reading[i]] & ~BIT(i)) && agreeing[i] != 0 ->
    as_of[i] = round_at[i]

  /* It adopts a newer read of the store that a peer reports. */
  :: WITH_VOUCHING && alive[i] -> atomic {
      if
      :: alive[0] && i != 0 -> j = 0
      :: alive[1] && i != 1 -> j = 1
      :: alive[2] && i != 2 -> j = 2
      fi;
      if
      :: as_of[j] > as_of[i] && leader_row[known[j]] >= leader_row[known[i]] &&
         MEMBER_KNOWN(i, j) ->
        learn(i, known[j]);
        as_of[i] = as_of[j];
        if
        :: true_as_of[j] > true_as_of[i] -> true_as_of[i] = true_as_of[j]
        :: else
        fi
      :: else
      fi;
      j = 0
    }

  /* It ends. Its confirmation and its transaction may still be in flight. The
   * rest is cleared, as only a running instance uses it. */
  :: KILLS && alive[i] && i == 0 -> atomic {
      alive[i] = false;
      store_unreachable[i] = false;
      reading[i] = 0;
      known[i] = 0;
      as_of[i] = 0;
      true_as_of[i] = 0;
      usable_until[i] = 0;
      duty_seen[i] = 0;
      leader_seen[i] = 0;
      round_at[i] = 0;
      agreeing[i] = 0;
      task[i] = 0;
      task_epoch[i] = 0;
      task_version[i] = 0;
      change_seen[i] = 0;
      expired[i] = 0;
      confirmed_by[i] = 0;
      first_confirmed_at[i] = 0;
      token[i] = 0;
      token_since[i] = 0;
      sent_at[i] = 0
    }
  fi
}

#ifdef IN_PLACE
#define MAY_REGISTER alive[2]
#define REPLACED 1
#else
#define MAY_REGISTER true
#define REPLACED 0
#endif

init {
  atomic {
    mem[0] = 3;
    alive[0] = true;
    alive[1] = true;
    as_of[0] = LEASE;
    as_of[1] = LEASE;
    true_as_of[0] = LEASE * WITH_UNANIMITY;
    true_as_of[1] = LEASE * WITH_UNANIMITY;
    registered[0] = true;
    registered[1] = true
  };
  do
  :: now < LEASE + TICKS -> now++
  :: step(0)
  :: step(1)
  :: step(2)
#ifdef IN_PLACE
  /* Instance 0 starts again. */
  :: JOINS && !alive[0] && !alive[2] ->
    atomic { alive[2] = true; store_unreachable[2] = true }
#endif
  /* Instance 2 joins. */
  :: JOINS && !registered[2] && version < VERSIONS - 1 && MAY_REGISTER ->
    atomic {
      store_next();
      mem[version] = (mem[version] & ~REPLACED) | 4;
      registered[2] = true;
#ifndef IN_PLACE
      alive[2] = true;
      store_unreachable[2] = true
#endif
    }
  od
}
