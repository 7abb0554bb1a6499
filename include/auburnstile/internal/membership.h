/*
 * Members of the fleet as one control knows them, learnt by gossip.
 *
 * Plain decisions: `now_us` and messages come in, messages and verdicts go
 * out. One exchange is up to four messages:
 *
 *   1. ask       A -> B  number, roster hash
 *   2. answer    B -> A  echo of 1, number, ages
 *   3. answer    A -> B  echo of 2, ages, records that B lacks
 *   4. records   B -> A  records that A lacks, only if there are any
 *
 * An age counts only in an answer: the time since the number it echoes was
 * sent is added to it, so an answer that waited in a socket buffer while its
 * reader was paused or cut off can't pass for a new one.
 *
 * `ages` is a row a member, sorted by key: [age, flags] while both sides
 * know the same roster, else [tag (4 bytes), age, flags]. Age is in units of
 * 50 ms, 255 for longer than can be told. Flags: bit 7 says that the
 * message's configuration version is in force at that entry, bit 6 that the
 * control there holds it; bits 0..5 are the entry's load.
 */
#ifndef AUBURNSTILE_INTERNAL_MEMBERSHIP_H
#define AUBURNSTILE_INTERNAL_MEMBERSHIP_H

#include <auburnstile/message.h>

G_BEGIN_DECLS

#define AUBI_MEMBER_TIMEOUT_US ((gint64)3000000) /* unheard of: dead */
#define AUBI_MEMBER_DEAD_RETENTION_US ((gint64)900000000) /* dead: forgotten */
#define AUBI_MEMBER_STOPPED_RETENTION_US ((gint64)3900000000) /* past keys */
#define AUBI_GOSSIP_INTERVAL_US ((gint64)333000) /* between exchanges */
#define AUBI_AGE_UNKNOWN_US G_MAXINT64 /* an age that is not known */

struct aubi_membership;

/* `self` is copied; `seeds` ("ip:port"..., NULL-terminated) too. */
struct aubi_membership *aubi_membership_new(const struct aub_member *self,
					    const char *const *seeds,
					    guint32 seed);
void aubi_membership_free(struct aubi_membership *membership);

/* Own record. Borrowed until the next change. */
const struct aub_member *aubi_membership_self(
	const struct aubi_membership *membership);

/*
 * Replace the own record, name and control incarnation excepted. Its
 * revision rises if anything but load and version differs. An entry
 * incarnation that left in order and is replaced is kept for its heir.
 */
void aubi_membership_update_self(struct aubi_membership *membership,
				 const struct aub_member *self, gint64 now_us);

/* True once a newer process with the own name has been heard of. */
bool aubi_membership_superseded(const struct aubi_membership *membership);

/* Message 1. The caller fills in versions and the store's state. */
void aubi_membership_begin_exchange(const struct aubi_membership *membership,
			 struct aub_gossip *gossip, gint64 now_us);

/*
 * Take what a message says. True if a record came, changed or left. `from`
 * is the sender's name, `start` its control's incarnation. Messages 1 and 4
 * bring no ages.
 */
bool aubi_membership_receive(struct aubi_membership *membership, const char *from,
			  guint64 start, const struct aub_gossip *gossip,
			  gint64 now_us);

/*
 * The message to answer with: 2 to 1, 3 to 2, 4 to 3. False where none is
 * wanted. `gossip` is new and empty but for versions and the store's state.
 * `behind`: a peer holds a newer configuration. Then no proofs of others are
 * relayed, so that a proof never overtakes the version that came with it.
 */
bool aubi_membership_reply(const struct aubi_membership *membership,
			    const struct aub_gossip *received, bool behind,
			    struct aub_gossip *gossip, gint64 now_us);

/* Upper bound of the time since `gossip`'s sender wrote it. */
gint64 aubi_gossip_delay_us(const struct aub_gossip *gossip, gint64 now_us);

/*
 * Forget what expired and note who fell silent. True if a state changed. The
 * dead are only forgotten while a majority is heard.
 */
bool aubi_membership_tick(struct aubi_membership *membership, gint64 now_us);

/*
 * An operator says that those unheard are gone for good: they count no longer
 * here, nor where that is heard. How many they were. One that lives after all
 * raises its own revision when it hears of it.
 */
guint aubi_membership_forget_dead(struct aubi_membership *membership,
				  gint64 now_us);

/*
 * Address of the next peer to ask, borrowed until the next call; NULL for
 * none. Mostly a live one; now and then a dead one or a seed, so that halves
 * of a fleet find each other again.
 */
const char *aubi_membership_pick_peer(struct aubi_membership *membership,
				 gint64 now_us);

/* Copies with state and age as of now; list owned by the caller. */
GPtrArray *aubi_membership_list(const struct aubi_membership *membership,
				gint64 now_us);

/* Members that count: neither stopped in order nor forgotten. */
guint aubi_membership_count(const struct aubi_membership *membership);
guint aubi_membership_count_live(const struct aubi_membership *membership,
			   gint64 now_us);

/*
 * Age of the oldest proof among the `count` members proved most lately,
 * itself included; AUBI_AGE_UNKNOWN_US if fewer were ever proved.
 */
gint64 aubi_membership_proof_age_us(const struct aubi_membership *membership,
				guint count, gint64 now_us);

/*
 * Members that count and whose control is known to hold `version` or a newer
 * one, itself included.
 */
guint aubi_membership_count_holding(const struct aubi_membership *membership,
			      guint64 version);

/*
 * Live members with a lower rank than the own one, and those among them for
 * which `same` is true. Rank is by start, oldest first, so that a restart
 * takes no duty away from those that hold it.
 */
typedef bool aubi_member_filter(const struct aub_member *member, void *context);
guint aubi_membership_rank(const struct aubi_membership *membership,
			   aubi_member_filter *same, void *context,
			   gint64 now_us);

G_END_DECLS

#endif
