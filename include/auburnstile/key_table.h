/*
 * Keys of requests that may run at most once, and their kept answers.
 *
 * One entry incarnation keeps each key: the one the key's grant names. No
 * clock: `now_us` comes in. A key once begun is remembered for `retention_us`
 * after its end; the table refuses new keys rather than forget one early.
 *
 * Grant: "ENTRY.INCARNATION.ISSUED.RANDOM", numbers in hex. Key: grant "/"
 * caller's text.
 */
#ifndef AUBURNSTILE_KEY_TABLE_H
#define AUBURNSTILE_KEY_TABLE_H

#include <auburnstile/message.h>

G_BEGIN_DECLS

#define AUB_FINGERPRINT_BYTES 32 /* SHA-256 */
#define AUB_KEY_BYTES_MAX 200 /* bytes of a key */

struct aub_key_table;

enum aub_key_decision {
	AUB_KEY_NEW, /* recorded as running: run it now */
	AUB_KEY_RUNNING, /* the first one still runs: wait for its end */
	AUB_KEY_RECORDED, /* `record` holds the outcome */
	AUB_KEY_MISMATCH, /* bound to another request or caller */
	AUB_KEY_FULL, /* no room: not run */
	AUB_KEY_GRANT_EXPIRED, /* too old to begin under, and nothing was run */
	AUB_KEY_FORGOTTEN /* so old that it may have been run and forgotten */
};

/* `limit_bytes` bounds keys and kept answers together. */
struct aub_key_table *aub_key_table_new(gsize limit_bytes, gint64 retention_us);
void aub_key_table_free(struct aub_key_table *table);

/*
 * `grant_age_us` is the age of the key's grant. Keys begin under grants of at
 * most half of `retention_us`, so that one is never forgotten while its grant
 * could begin it once more; clocks may differ by the other half.
 * `*record` is set for KEPT; borrowed until the next call.
 */
enum aub_key_decision aub_key_table_begin(
	struct aub_key_table *table, const char *key,
	const guint8 fingerprint[AUB_FINGERPRINT_BYTES], gint64 grant_age_us,
	gint64 now_us, const struct aub_key_record **record);

/*
 * The run ended. NOT_RUN forgets the key, so that a repeat may run. An
 * answer that doesn't fit is kept as its outcome and status alone.
 */
void aub_key_table_finish(struct aub_key_table *table, const char *key,
			  const struct aub_answer *answer, gint64 now_us);

/* Hand-over. Export: list owned by the caller; a running key is UNKNOWN. */
GPtrArray *aub_key_table_export(const struct aub_key_table *table,
				gint64 now_us);
void aub_key_table_import(struct aub_key_table *table,
			  const struct aub_key_record *record, gint64 now_us);

guint aub_key_table_count(const struct aub_key_table *table);
gsize aub_key_table_bytes(const struct aub_key_table *table);

/*
 * Parse "ENTRY.INCARNATION.ISSUED.RANDOM/TEXT". `entry` is owned by the
 * caller; `issued_s` is seconds since 1970 by the clock of who issued it.
 */
bool aub_key_parse(const char *key, char **entry, guint64 *incarnation,
		   gint64 *issued_s, GError **error);
char *aub_grant_make(const char *entry, guint64 incarnation, gint64 issued_s,
		     guint64 random);

/*
 * SHA-256 over method, path, body and the caller's credentials (the values
 * of Authorization and Cookie, "" where absent).
 */
void aub_request_fingerprint(const char *method, const char *path,
			     const struct aub_bytes *body,
			     const char *authorization, const char *cookie,
			     guint8 fingerprint[AUB_FINGERPRINT_BYTES]);

G_END_DECLS

#endif
