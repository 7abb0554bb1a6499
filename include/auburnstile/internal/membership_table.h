/*
 * The table behind struct aubi_membership, shared by membership.c (which
 * members are known and live) and gossip.c (the messages).
 */
#ifndef AUBURNSTILE_INTERNAL_MEMBERSHIP_TABLE_H
#define AUBURNSTILE_INTERNAL_MEMBERSHIP_TABLE_H

#include <auburnstile/internal/membership.h>

G_BEGIN_DECLS

struct aubi_member_record {
	struct aub_member *member; /* owned */
	char *key; /* name, or name#incarnation of a stopped entry */
	guint32 tag;
	gint64 last_seen_us; /* last message or relayed sign of life; 0: none */
	gint64 last_proof_us; /* last proof of life; see membership.h */
	guint64 held_version; /* newest version its control is known to hold */
	bool reported_live; /* as last reported by aubi_membership_tick() */
};

struct aubi_membership {
	GPtrArray *records; /* of struct aubi_member_record, sorted by key */
	struct aubi_member_record *self; /* borrowed from records */
	char **seeds;
	GRand *random;
	guint pick_count;
	guint64 roster;
	bool superseded;
};

struct aubi_member_record *aubi_membership_find(
	const struct aubi_membership *membership, const char *key);

/* Takes ownership of `key`; copies `member`. */
struct aubi_member_record *aubi_membership_insert(
	struct aubi_membership *membership, char *key,
	const struct aub_member *member);

/*
 * Retains the record of an entry after its planned stop so that its successor
 * remains known. Returns true if the record is new.
 */
bool aubi_membership_retain_stopped(struct aubi_membership *membership,
				    const struct aub_member *stopped,
				    gint64 now_us);

/*
 * Recomputes tags and roster hash; must be called after any change of records.
 */
void aubi_membership_rehash(struct aubi_membership *membership);

/* Returns the age in ms to relay for a record; 0 for the own one. */
guint32 aubi_membership_age_ms(const struct aubi_membership *membership,
			       const struct aubi_member_record *record,
			       gint64 now_us);

G_END_DECLS

#endif
