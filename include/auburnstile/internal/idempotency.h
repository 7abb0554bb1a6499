/*
 * Keys of requests that may run at most once: which entry keeps one, who
 * waits for a running one, and the hand-over at a planned stop.
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
	gsize max_bytes; /* of keys and kept answers together */
	gint64 retention_us; /* how long a key is remembered after its end */
	struct aub_entry_view *view; /* all borrowed */
	struct aub_timer_service *timers;
	struct aub_event_ring *events;
};

struct aub_idempotency *aub_idempotency_new(const struct aub_idempotency_options *options);
void aub_idempotency_free(struct aub_idempotency *idempotency);

enum aub_key_location {
	AUB_KEY_LOCATION_HERE,
	AUB_KEY_LOCATION_REMOTE, /* with a member */
	AUB_KEY_LOCATION_LOST, /* nobody knows any more what ran under it */
	AUB_KEY_LOCATION_INVALID /* no entry handed out such a grant */
};

/* Who keeps `key`. `*member` is set for ELSEWHERE; borrowed from the view. */
enum aub_key_location aub_idempotency_locate(const struct aub_idempotency *idempotency,
					const char *key,
					const struct aub_member **member);

/* The end of a running key; `answer` is borrowed. */
typedef void aub_idempotency_waiter(const struct aub_answer *answer, void *context);

/*
 * Begin or repeat a keyed request here. For RUNNING, `waiter` is called at
 * its end, unless aub_idempotency_stop_waiting() came first. For KEPT, `*kept` is the
 * kept answer, owned by the caller.
 */
enum aub_key_verdict aub_idempotency_begin(struct aub_idempotency *idempotency,
				      const struct aub_call *call,
				      aub_idempotency_waiter *waiter, void *context,
				      struct aub_answer **cached);
void aub_idempotency_stop_waiting(struct aub_idempotency *idempotency, const char *key,
		      void *context);

/* The run under `key` ended; `answer` is borrowed. */
void aub_idempotency_finish(struct aub_idempotency *idempotency, const char *key,
		       const struct aub_answer *answer);

/* Keys handed over by a stopping entry. */
void aub_idempotency_import(struct aub_idempotency *idempotency, const struct aub_keys *keys);

/*
 * Hand all keys to a live member; `done` gets its incarnation, or 0 when no
 * member could take them. No key may be running. From now on new keys are
 * kept by the successor.
 */
typedef void aub_idempotency_transferred(guint64 successor, void *context);
void aub_idempotency_transfer(struct aub_idempotency *idempotency, struct aub_relay *relay,
			  aub_idempotency_transferred *done, void *context);
void aub_idempotency_acknowledged(struct aub_idempotency *idempotency,
			     const struct aub_keys_ack *ack);

/* A planned stop nears: from now on this entry begins no key. */
void aub_idempotency_close(struct aub_idempotency *idempotency);
bool aub_idempotency_closed(const struct aub_idempotency *idempotency);

guint aub_idempotency_count(const struct aub_idempotency *idempotency);
gsize aub_idempotency_bytes(const struct aub_idempotency *idempotency);

G_END_DECLS

#endif
