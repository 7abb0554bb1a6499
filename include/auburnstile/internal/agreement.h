/*
 * Tracks which configuration and assignments a control holds and how recently
 * they were confirmed, and decides what follows from that: whether its entry
 * may take new work, whether operators' changes may be accepted, and which
 * controls watch the store.
 *
 * A member is called reachable while it was proved alive, directly or through
 * other members, within the last AUBI_CONFIG_FRESH_MAX_US.
 *
 * Pure logic without I/O: the caller passes the current time as `now_us`.
 * agreement_notes.txt discusses the rule.
 */
#ifndef AUBURNSTILE_INTERNAL_AGREEMENT_H
#define AUBURNSTILE_INTERNAL_AGREEMENT_H

#include <auburnstile/internal/membership.h>

G_BEGIN_DECLS

/* Older confirmations and proofs of life are not relied on. */
#define AUBI_CONFIG_FRESH_MAX_US ((gint64)3000000)
/* Longest serving lease that is granted. */
#define AUBI_SERVE_LEASE_MAX_US ((gint64)1500000)
/* Controls of one region that watch the store. */
#define AUBI_STORE_WATCHERS_PER_REGION 2

struct aubi_agreement {
	guint64 config_version; /* current version; never decreases */
	guint64 epoch; /* version of the current assignments; never decreases */
	guint64 confirmed_version; /* newest version known to be in the store */
	gint64 confirmed_us; /* when it was known to be the newest; 0: never */
	gint64 store_answered_us; /* last answer from the store itself */
	guint64 peer_version; /* newest version that a peer reported */
	/* Since when peer_version is newer than the current version. */
	gint64 behind_since_us;
	gint64 last_serving_us; /* last time a serving lease could be granted */
	gint64 started_us;
	gint64 watch_until_us; /* earliest end of a watch that has begun */
};

struct aubi_agreement aubi_agreement_start(gint64 now_us);

/*
 * Adopts a version if it is newer than the current one. Returns false, without
 * any change, for a stale read, a peer that is behind, or the current version.
 */
bool aubi_agreement_adopt_config(struct aubi_agreement *agreement,
				 guint64 version);
bool aubi_agreement_adopt_epoch(struct aubi_agreement *agreement,
				guint64 epoch);

/*
 * Records that `version` was the newest configuration at `at_us`, according to
 * the store or to a peer that was informed by it. A version older than the
 * current one is ignored.
 */
void aubi_agreement_confirm(struct aubi_agreement *agreement, guint64 version,
			    gint64 at_us);
/*
 * Processes the version and its age in a peer's gossip, and notes which version
 * the peer holds.
 */
void aubi_agreement_receive_gossip(struct aubi_agreement *agreement,
				   const struct aub_gossip *gossip,
				   gint64 now_us);

/* Returns true if a peer holds a newer configuration than this control. */
bool aubi_agreement_is_behind(const struct aubi_agreement *agreement);

/*
 * Returns the time in us since the current configuration was last confirmed to
 * be the newest, or AUBI_AGE_UNKNOWN_US.
 */
gint64 aubi_agreement_config_age_us(const struct aubi_agreement *agreement,
				    gint64 now_us);

/*
 * Returns how long the entry may continue to take new work, in us; 0 if it may
 * not. The lease is positive while there is a configuration and either it was
 * confirmed recently, or so many members are reachable that the remaining ones
 * cannot be a majority.
 */
gint64 aubi_agreement_serve_lease_us(const struct aubi_agreement *agreement,
				     const struct aubi_membership *membership,
				     gint64 now_us);

/*
 * Records whether a serving lease can be granted. Must be called ten times a
 * second.
 */
void aubi_agreement_tick(struct aubi_agreement *agreement,
			 const struct aubi_membership *membership,
			 gint64 now_us);

/*
 * Returns true if an operator's change may be written by this control, which
 * requires that a majority is reachable.
 */
bool aubi_agreement_can_accept_changes(const struct aubi_membership *membership,
				       gint64 now_us);

/*
 * Returns true if `version`, once written, counts as accepted: a majority of
 * the members holds it. Without this check, a partition just before the write
 * could hide the change from the majority.
 */
bool aubi_agreement_is_accepted(const struct aubi_agreement *agreement,
				const struct aubi_membership *membership,
				guint64 version);

/*
 * Returns true if this control should watch the store itself. `rank` is its
 * rank among the live members of its region.
 */
bool aubi_agreement_should_watch_store(struct aubi_agreement *agreement,
				       const struct aubi_membership *membership,
				       guint rank, gint64 now_us);

G_END_DECLS

#endif
