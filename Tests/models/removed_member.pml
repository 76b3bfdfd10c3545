/* Models that a change of one group's primary waits for a member whose row was
 * removed by a change of another group. lease.pml has one group; here the other
 * group is reduced to the removal, which may come at any time.
 *
 * The member X uses the primary of the group while its lease is valid. The
 * holder H replaces that primary. The peer P may learn the newest leader rows
 * from H instead of the store, and may extend the lease of X. X, H and P read
 * the store at any time or never. H may restart and then knows only the rows
 * that are left. Only the clock restricts them.
 *
 * Each rule that the proof needs is guarded by a macro NO_.... Defining the
 * macro removes the rule, and check_models then expects a violation.
 */

#ifndef TICKS
#define TICKS 5
#endif
#define LEASE 2  /* kLeaderLease */

byte now = LEASE;  /* A lease that starts at time 0 has expired. */

/* The store. */
bool row = true;         /* The member row of X. */
bool removed = false;    /* The other group's change has removed it. */
bool left = false;       /* X has removed it by itself. */
bool changing = false;   /* The change of the group is published. */
bool promoted = false;   /* Its promotion is ordered. */

/* X. */
byte x_as_of = LEASE;
bool x_has_row = true;   /* Its row, as it last read the store. */
bool x_knows_change = false;
bool x_confirmed = false;
bool x_renounced = false;
bool x_ended = false;

/* H. */
byte h_as_of = LEASE;
bool h_has_row = true;        /* The row of X, as H last read the store. */
bool h_knows_removal = false;
byte h_removal_seen = 0;
byte h_table_read_at = 0;
byte h_change_seen = 0;
bool h_view_current = false;  /* H has read the store since its publication. */

/* P. */
byte p_as_of = LEASE;
bool p_has_row = true;         /* The row of X, as P last read the store. */
bool p_members_current = true; /* P has no newer leader row than that. */
bool p_knows_change = false;

#ifdef NO_RENOUNCED_LEASE
#define RENOUNCED false
#else
#define RENOUNCED x_renounced
#endif
#define X_MAY_ACKNOWLEDGE \
  (!x_ended && !RENOUNCED && now < x_as_of + LEASE && x_has_row && !x_knows_change)

#ifdef NO_REMOVAL_WAIT
#define REMOVAL_WAITED true
#else
#define REMOVAL_WAITED \
  (!h_knows_removal || x_confirmed || now >= h_removal_seen + LEASE)
#endif
#ifdef NO_TABLE_READ_WAIT
#define TABLE_READ_WAITED true
#else
#define TABLE_READ_WAITED (now >= h_table_read_at + LEASE)
#endif
#define MEMBER_WAITED \
  (!h_has_row || x_confirmed || now >= h_change_seen + LEASE)
#ifdef NO_MEMBERS_CURRENT
#define P_VOUCHES p_has_row
#else
#define P_VOUCHES (p_has_row && p_members_current)
#endif

init {
  do
  :: now < LEASE + TICKS -> now++

  /* The other group's change ends and removes the row of X. */
  :: row && !removed -> atomic { removed = true; row = false }
  /* X stops: it ends its lease, then removes its row, and then ends. */
  :: !x_renounced && !x_ended -> x_renounced = true
  :: x_renounced && row -> atomic { row = false; left = true }
  :: x_renounced && !row -> x_ended = true

  /* X reads the store, confirms the change, or acknowledges a commit. */
  :: !x_ended && (x_as_of != now || x_has_row != row || x_knows_change != changing) ->
    atomic { x_as_of = now; x_has_row = row; x_knows_change = changing }
  :: x_knows_change && !x_confirmed -> x_confirmed = true
  :: X_MAY_ACKNOWLEDGE && promoted -> assert(false)

  /* H reads the store. */
  :: h_as_of != now || h_has_row != row || (changing && !h_view_current) ->
    atomic {
      if
      :: h_has_row && !row && !left ->
        h_knows_removal = true;
        h_removal_seen = now
      :: else
      fi;
      h_as_of = now;
      h_has_row = row;
      h_view_current = changing
    }
  /* H restarts and reads the whole table. */
  :: !changing -> atomic {
      h_as_of = now;
      h_has_row = row;
      h_knows_removal = false;
      h_removal_seen = 0;
      h_table_read_at = now
    }
  :: !changing -> atomic { changing = true; h_change_seen = now }
  :: changing && !promoted && h_view_current && MEMBER_WAITED &&
     REMOVAL_WAITED && TABLE_READ_WAITED ->
    promoted = true

  /* P reads the store, or takes the reading of H with its leader rows. */
  :: p_as_of != now || p_has_row != row || p_knows_change != changing ->
    atomic {
      p_as_of = now;
      p_has_row = row;
      p_members_current = true;
      p_knows_change = changing
    }
  :: h_as_of > p_as_of -> atomic {
      p_as_of = h_as_of;
      p_members_current = p_members_current && (h_has_row || left);
      p_knows_change = p_knows_change || (changing && h_view_current)
    }
  /* X takes the reading of P with its leader rows. */
  :: !x_ended && p_as_of > x_as_of && P_VOUCHES -> atomic {
      x_as_of = p_as_of;
      x_knows_change = x_knows_change || p_knows_change
    }
  od
}
