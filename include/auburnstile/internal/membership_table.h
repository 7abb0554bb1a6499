/*
 * The table behind struct aubi_membership, shared by membership.c (who is
 * known and live) and gossip.c (what is told to whom).
 */
#ifndef AUBURNSTILE_INTERNAL_MEMBERSHIP_TABLE_H
#define AUBURNSTILE_INTERNAL_MEMBERSHIP_TABLE_H

#include <auburnstile/internal/membership.h>

G_BEGIN_DECLS

struct aubi_member_record {
	struct aub_member *member; /* owned */
	char *key; /* name, or name#incarnation of one that left */
	guint32 tag;
	gint64 last_heard_us; /* any sign of life; 0 for none */
	gint64 last_proof_us; /* sign of life bounded by a round trip */
	guint64 held_version; /* newest its control is known to hold */
	bool reported_live; /* as last reported by tick */
};

struct aubi_membership {
	GPtrArray *records; /* of struct aubi_member_record, sorted by key */
	struct aubi_member_record *self; /* borrowed from records */
	char **seeds;
	GRand *random;
	guint picks;
	guint64 roster;
	bool superseded;
};

struct aubi_member_record *aubi_membership_find(
	const struct aubi_membership *membership, const char *key);

/* Takes `key` over; copies `member`. */
struct aubi_member_record *aubi_membership_insert(
	struct aubi_membership *membership, char *key,
	const struct aub_member *member);

/* Keep a member that left in order for its heir. True if it is new. */
bool aubi_membership_retain_stopped(struct aubi_membership *membership,
			       const struct aub_member *stopped, gint64 now_us);

/* Compute tags and roster hash anew, after any change of records. */
void aubi_membership_rehash(struct aubi_membership *membership);

/* Age to relay of a record; 0 of the own one. */
guint32 aubi_membership_age_ms(const struct aubi_membership *membership,
			       const struct aubi_member_record *record,
			       gint64 now_us);

G_END_DECLS

#endif
