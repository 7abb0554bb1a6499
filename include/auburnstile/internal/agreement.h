/*
 * Which configuration and assignments a control holds, how fresh that is,
 * and what follows: whether its entry may take new work, whether operators'
 * changes may be accepted, who watches the store.
 *
 * Plain decisions: `now_us` comes in. agreement_notes.txt weighs the rule.
 */
#ifndef AUBURNSTILE_INTERNAL_AGREEMENT_H
#define AUBURNSTILE_INTERNAL_AGREEMENT_H

#include <auburnstile/internal/membership.h>

G_BEGIN_DECLS

#define AUBI_CONFIG_FRESH_MAX_US ((gint64)3000000) /* older: no proof of anything */
#define AUBI_SERVE_LEASE_MAX_US ((gint64)1500000) /* longest permission given */
#define AUBI_STORE_WATCHERS_PER_REGION 2 /* of the store, a region */

struct aubi_agreement {
	guint64 config_version; /* held; only rises */
	guint64 epoch; /* version of the assignments held; only rises */
	guint64 confirmed_version; /* newest the store is known to hold */
	gint64 confirmed_us; /* moment at which that was so; 0 for never */
	gint64 store_answered_us; /* last answer from the store itself */
	guint64 peer_version; /* newest that any peer said it holds */
	gint64 behind_since_us; /* since when that is newer than what is held */
	gint64 last_serving_us; /* last moment at which leave to serve was due */
	gint64 started_us;
	gint64 watch_until_us; /* a watch once begun lasts this long */
};

struct aubi_agreement aubi_agreement_start(gint64 now_us);

/*
 * Take a version if it is newer than what is held. False for a stale read,
 * a peer that is behind, or what is held already: nothing may be changed.
 */
bool aubi_agreement_adopt_config(struct aubi_agreement *agreement,
				guint64 version);
bool aubi_agreement_adopt_epoch(struct aubi_agreement *agreement, guint64 epoch);

/*
 * At `at_us` the newest configuration was `version`: by the store itself or
 * by a peer that was told so. One older than what is held says nothing.
 */
void aubi_agreement_confirm(struct aubi_agreement *agreement, guint64 version,
			    gint64 at_us);
/* The same, out of a peer's gossip, and what the peer holds. */
void aubi_agreement_receive_gossip(struct aubi_agreement *agreement,
			    const struct aub_gossip *gossip, gint64 now_us);

/* Does a peer hold a newer configuration than this control? */
bool aubi_agreement_is_behind(const struct aubi_agreement *agreement);

/* Time since what is held was surely the newest; AUBI_AGE_UNKNOWN_US. */
gint64 aubi_agreement_config_age_us(const struct aubi_agreement *agreement,
			       gint64 now_us);

/*
 * How long the entry may go on taking new work, in us; 0 for not at all.
 * Holds while a configuration is held and either it is fresh, or so many
 * members are heard that the others can be no majority.
 */
gint64 aubi_agreement_serve_lease_us(const struct aubi_agreement *agreement,
			       const struct aubi_membership *membership,
			       gint64 now_us);

/* To be called ten times a second: notes whether leave to serve is due. */
void aubi_agreement_tick(struct aubi_agreement *agreement,
			 const struct aubi_membership *membership,
			 gint64 now_us);

/* May an operator's change be written from here? Needs a majority heard. */
bool aubi_agreement_can_accept_changes(const struct aubi_membership *membership,
			       gint64 now_us);

/*
 * Is `version`, once written, accepted: does a majority hold it? A cut that
 * came just before the write could otherwise hide it from them.
 */
bool aubi_agreement_is_accepted(const struct aubi_agreement *agreement,
				const struct aubi_membership *membership,
				guint64 version);

/*
 * Should this control watch the store itself? `rank` is its rank among the
 * live members of its region.
 */
bool aubi_agreement_should_watch_store(struct aubi_agreement *agreement,
			    const struct aubi_membership *membership,
			    guint rank, gint64 now_us);

G_END_DECLS

#endif
