/*
 * Idempotency keys: keys of requests that may run at most once, and their
 * retained answers.
 *
 * Each key is owned by one incarnation of an entry, the one named in the key's
 * grant. The table has no clock: the current time `now_us` is passed in. A key
 * that was begun is remembered for `retention_us` after its request ended; the
 * table refuses new keys rather than forget one earlier.
 *
 * Grant: "ENTRY.INCARNATION.ISSUED.RANDOM", numbers in hex. Key: grant "/"
 * caller's text.
 */
#ifndef AUBURNSTILE_KEY_TABLE_H
#define AUBURNSTILE_KEY_TABLE_H

#include <auburnstile/message.h>

G_BEGIN_DECLS

#define AUB_FINGERPRINT_BYTES 32 /* SHA-256 */
#define AUB_KEY_BYTES_MAX 200 /* length of a key */

struct aub_key_table;

enum aub_key_decision {
	AUB_KEY_NEW, /* now recorded as running: run the request */
	AUB_KEY_RUNNING, /* the first request is running: wait for its end */
	AUB_KEY_RECORDED, /* the outcome is known and in `record` */
	AUB_KEY_MISMATCH, /* in use for another request or caller */
	AUB_KEY_FULL, /* the table is full: not run */
	AUB_KEY_GRANT_EXPIRED, /* the grant is too old; not run */
	AUB_KEY_FORGOTTEN /* so old that it may have run and been forgotten */
};

/*
 * Creates a table. `limit_bytes` bounds the memory of keys and retained answers
 * together.
 */
struct aub_key_table *aub_key_table_new(gsize limit_bytes, gint64 retention_us);
void aub_key_table_free(struct aub_key_table *table);

/*
 * Looks up a key and, if it is new, records it as running. `grant_age_us` is
 * the age of its grant. A key can be begun only under a grant of at most half
 * of `retention_us`, so that no key is forgotten while its grant could begin it
 * again; the other half allows for differing clocks.
 *
 * `*record` is set for AUB_KEY_RECORDED; it is borrowed and valid until the
 * next call.
 */
enum aub_key_decision aub_key_table_begin(
	struct aub_key_table *table, const char *key,
	const guint8 fingerprint[AUB_FINGERPRINT_BYTES], gint64 grant_age_us,
	gint64 now_us, const struct aub_key_record **record);

/*
 * Records the end of a request. AUB_OUTCOME_NOT_RUN removes the key, so that a
 * repeated request may run. Of an answer that does not fit, only outcome and
 * status are retained.
 */
void aub_key_table_finish(struct aub_key_table *table, const char *key,
			  const struct aub_answer *answer, gint64 now_us);

/*
 * Hands the keys over to another entry. The exported list is owned by the
 * caller; keys of running requests have AUB_OUTCOME_UNKNOWN.
 */
GPtrArray *aub_key_table_export(const struct aub_key_table *table,
				gint64 now_us);
void aub_key_table_import(struct aub_key_table *table,
			  const struct aub_key_record *record, gint64 now_us);

/* Returns the number of keys. */
guint aub_key_table_count(const struct aub_key_table *table);
/* Returns the memory of keys and retained answers. */
gsize aub_key_table_bytes(const struct aub_key_table *table);

/*
 * Parses "ENTRY.INCARNATION.ISSUED.RANDOM/TEXT". Sets `*entry`, owned by the
 * caller, and `*issued_s`, the Unix time of the issuer's clock in seconds.
 * Returns false with AUB_ERROR_INVALID if the key is malformed.
 */
bool aub_key_parse(const char *key, char **entry, guint64 *incarnation,
		   gint64 *issued_s, GError **error);
/* Returns the text of a grant, owned by the caller. */
char *aub_grant_make(const char *entry, guint64 incarnation, gint64 issued_s,
		     guint64 random);

/*
 * Computes the SHA-256 of method, path, body and the caller's credentials (the
 * values of Authorization and Cookie, "" if absent).
 */
void aub_request_fingerprint(const char *method, const char *path,
			     const struct aub_bytes *body,
			     const char *authorization, const char *cookie,
			     guint8 fingerprint[AUB_FINGERPRINT_BYTES]);

G_END_DECLS

#endif
