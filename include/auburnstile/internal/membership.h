/*
 * Members of the fleet as known to one control, learnt by gossip.
 *
 * Pure logic without I/O: the current time and received messages are passed in,
 * messages to send and results are returned. An exchange consists of up to four
 * messages:
 *
 *   1. request   A -> B  number, roster hash
 *   2. answer    B -> A  echo of 1, number, ages
 *   3. answer    A -> B  echo of 2, ages, records that B lacks
 *   4. records   B -> A  records that A lacks; omitted if there are none
 *
 * An age is only used from an answer: the time since the echoed number was sent
 * is added to it, so an answer that waited in a socket buffer while its reader
 * was paused or partitioned does not count as recent.
 *
 * `ages` has one row per member, sorted by key: [age, flags] while both sides
 * know the same roster, else [tag (4 bytes), age, flags]. The age is in units
 * of 50 ms; 255 means unknown or too large. Flag bit 7: the configuration
 * version of the message is active at that entry; bit 6: the control there
 * holds it; bits 0..5: the entry's load.
 */
#ifndef AUBURNSTILE_INTERNAL_MEMBERSHIP_H
#define AUBURNSTILE_INTERNAL_MEMBERSHIP_H

#include <auburnstile/message.h>

G_BEGIN_DECLS

/* A member that was not seen for this long counts as dead. */
#define AUBI_MEMBER_TIMEOUT_US ((gint64)3000000)
/* Time after which a dead member is forgotten. */
#define AUBI_MEMBER_DEAD_RETENTION_US ((gint64)900000000)
/*
 * Time for which the record of a stopped entry is retained, so that the
 * successor for its keys can be found. Longer than keys are retained by
 * default.
 */
#define AUBI_MEMBER_STOPPED_RETENTION_US ((gint64)3900000000)
#define AUBI_GOSSIP_INTERVAL_US ((gint64)333000) /* between exchanges */
#define AUBI_AGE_UNKNOWN_US G_MAXINT64 /* an age that is not known */

struct aubi_membership;

/*
 * Creates a membership that knows only `self`. Both `self` and `seeds`
 * ("ip:port" strings, NULL-terminated) are copied.
 */
struct aubi_membership *aubi_membership_new(const struct aub_member *self,
					    const char *const *seeds,
					    guint32 seed);
void aubi_membership_free(struct aubi_membership *membership);

/* Returns the own record, borrowed until the next change. */
const struct aub_member *aubi_membership_self(
	const struct aubi_membership *membership);

/*
 * Replaces the own record except for its name and control incarnation. The
 * revision is incremented if anything but load and version differs. The record
 * of an entry incarnation that stopped as planned and is replaced is retained,
 * so that its successor remains known.
 */
void aubi_membership_update_self(struct aubi_membership *membership,
				 const struct aub_member *self, gint64 now_us);

/* Returns true once a newer process with the same name is known. */
bool aubi_membership_superseded(const struct aubi_membership *membership);

/* Fills in message 1. The caller sets the versions and the store's state. */
void aubi_membership_begin_exchange(const struct aubi_membership *membership,
				    struct aub_gossip *gossip, gint64 now_us);

/*
 * Processes a received message. Returns true if a record was added, changed or
 * removed. `from` is the name of the sender, `sender_incarnation` that of its
 * control. Messages 1 and 4 carry no ages.
 */
bool aubi_membership_receive(struct aubi_membership *membership,
			     const char *from, guint64 sender_incarnation,
			     const struct aub_gossip *gossip, gint64 now_us);

/*
 * Fills in the reply: message 2 to 1, 3 to 2, 4 to 3. Returns false if none is
 * needed. `gossip` must be new, with only versions and the store's state set.
 * If `behind` is true, a peer holds a newer configuration; proofs of life of
 * other members are then not relayed, so that a proof never arrives before the
 * version that came with it.
 */
bool aubi_membership_reply(const struct aubi_membership *membership,
			   const struct aub_gossip *received, bool behind,
			   struct aub_gossip *gossip, gint64 now_us);

/* Returns an upper bound of the time since the sender of `gossip` wrote it. */
gint64 aubi_gossip_delay_us(const struct aub_gossip *gossip, gint64 now_us);

/*
 * Removes expired records and detects members that are no longer seen. Returns
 * true if a state changed. Dead members are only forgotten while a majority is
 * reachable.
 */
bool aubi_membership_tick(struct aubi_membership *membership, gint64 now_us);

/*
 * Marks all dead members as permanently departed, on behalf of an operator:
 * they no longer count here or at any member that learns of it.
 * Returns their number. A member that is alive after all increments its own
 * revision when it receives that record.
 */
guint aubi_membership_forget_dead(struct aubi_membership *membership,
				  gint64 now_us);

/*
 * Returns the address of the next peer for an exchange, borrowed until the next
 * call; NULL if there is none. Usually this is a live member; occasionally a
 * dead one or a seed, so that the sides of a partition find each other again.
 */
const char *aubi_membership_pick_peer(struct aubi_membership *membership,
				      gint64 now_us);

/*
 * Returns copies of all records with their current state and age; the caller
 * owns the list.
 */
GPtrArray *aubi_membership_list(const struct aubi_membership *membership,
				gint64 now_us);

/*
 * Return the number of members that count: those neither stopped as planned nor
 * forgotten, and the live ones among them.
 */
guint aubi_membership_count(const struct aubi_membership *membership);
guint aubi_membership_count_live(const struct aubi_membership *membership,
				 gint64 now_us);

/*
 * Returns the age of the oldest proof of life among the `count` members with
 * the most recent proofs, this control included; AUBI_AGE_UNKNOWN_US if fewer
 * members were ever proved alive.
 */
gint64 aubi_membership_proof_age_us(const struct aubi_membership *membership,
				    guint count, gint64 now_us);

/*
 * Returns the number of counted members whose control is known to hold
 * `version` or a newer one, this control included.
 */
guint aubi_membership_count_holding(const struct aubi_membership *membership,
				    guint64 version);

/*
 * Returns the number of live members that rank before this one and for which
 * `filter` returns true; `filter` may be NULL. Members are ranked by start
 * time, oldest first, so that a restart does not take a duty away from those
 * that have it.
 */
typedef bool aubi_member_filter(const struct aub_member *member, void *context);
guint aubi_membership_rank(const struct aubi_membership *membership,
			   aubi_member_filter *filter, void *context,
			   gint64 now_us);

G_END_DECLS

#endif
