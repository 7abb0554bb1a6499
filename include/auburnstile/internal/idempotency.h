/*
 * Idempotency keys. A caller puts a key into a request that may be executed at
 * most once; requests with the same key are repeats of it. Each key is owned by
 * the entry whose grant it contains. This module locates the owner of a key,
 * lets repeats wait for the running request, and transfers the keys at a
 * planned stop.
 */
#ifndef AUBURNSTILE_INTERNAL_IDEMPOTENCY_H
#define AUBURNSTILE_INTERNAL_IDEMPOTENCY_H

#include <auburnstile/internal/entry_view.h>
#include <auburnstile/internal/relay.h>
#include <auburnstile/key_table.h>

G_BEGIN_DECLS

struct aub_idempotency;

struct aub_idempotency_options {
	const char *name; /* of this entry; borrowed */
	const char *zone;
	guint64 incarnation;
	gsize max_bytes; /* for keys and cached answers together */
	/* How long a key is retained after its request has ended. */
	gint64 retention_us;
	struct aub_entry_view *view; /* all pointers are borrowed */
	struct aub_timer_service *timers;
	struct aub_event_ring *events;
};

struct aub_idempotency *aub_idempotency_new(
	const struct aub_idempotency_options *options);
void aub_idempotency_free(struct aub_idempotency *idempotency);

enum aub_key_location {
	AUB_KEY_LOCATION_HERE,
	AUB_KEY_LOCATION_REMOTE, /* at another member */
	/* No entry knows any more which requests ran under it. */
	AUB_KEY_LOCATION_LOST,
	AUB_KEY_LOCATION_INVALID /* no entry issued such a grant */
};

/*
 * Returns where `key` is owned. Sets `*member` for AUB_KEY_LOCATION_REMOTE; it
 * is borrowed from the view.
 */
enum aub_key_location aub_idempotency_locate(
	const struct aub_idempotency *idempotency, const char *key,
	const struct aub_member **member);

/*
 * Called when the request running under a key has ended; `answer` is borrowed.
 */
typedef void aub_idempotency_waiter(const struct aub_answer *answer,
				    void *context);

/*
 * Begins or repeats a keyed request here. For AUB_KEY_RUNNING, `waiter` is
 * called when the running request ends, unless aub_idempotency_stop_waiting()
 * is called first. For AUB_KEY_RECORDED, `*cached` is set to the cached answer,
 * which the caller owns.
 */
enum aub_key_decision aub_idempotency_begin(struct aub_idempotency *idempotency,
					    const struct aub_call *call,
					    aub_idempotency_waiter *waiter,
					    void *context,
					    struct aub_answer **cached);
void aub_idempotency_stop_waiting(struct aub_idempotency *idempotency,
				  const char *key, void *context);

/* Records that the request under `key` has ended; `answer` is borrowed. */
void aub_idempotency_finish(struct aub_idempotency *idempotency,
			    const char *key, const struct aub_answer *answer);

/* Imports keys that a stopping entry has sent. */
void aub_idempotency_import(struct aub_idempotency *idempotency,
			    const struct aub_keys *keys);

/*
 * Transfers all keys to a live member. `done` receives its incarnation, or 0 if
 * no member could take them. No request may be running under a key. From then
 * on the successor owns new keys as well.
 */
typedef void aub_idempotency_transferred(guint64 successor, void *context);
void aub_idempotency_transfer(struct aub_idempotency *idempotency,
			      struct aub_relay *relay,
			      aub_idempotency_transferred *done, void *context);
void aub_idempotency_acknowledged(struct aub_idempotency *idempotency,
				  const struct aub_keys_ack *ack);

/*
 * Prevents new keys from being started at this entry, near the end of a planned
 * stop.
 */
void aub_idempotency_close(struct aub_idempotency *idempotency);
bool aub_idempotency_closed(const struct aub_idempotency *idempotency);

guint aub_idempotency_count(const struct aub_idempotency *idempotency);
gsize aub_idempotency_bytes(const struct aub_idempotency *idempotency);

G_END_DECLS

#endif
