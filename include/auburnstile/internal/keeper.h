/*
 * Keys of requests that may run at most once: which entry keeps one, who
 * waits for a running one, and the hand-over at a planned stop.
 */
#ifndef AUBURNSTILE_INTERNAL_KEEPER_H
#define AUBURNSTILE_INTERNAL_KEEPER_H

#include <auburnstile/internal/entry_view.h>
#include <auburnstile/internal/relay.h>
#include <auburnstile/key_table.h>

G_BEGIN_DECLS

struct aub_keeper;

struct aub_keeper_options {
	const char *name; /* of this entry; borrowed */
	const char *zone;
	guint64 incarnation;
	gsize limit_bytes; /* of keys and kept answers together */
	gint64 keep_us; /* how long a key is remembered after its end */
	struct aub_entry_view *view; /* all borrowed */
	struct aub_timer_service *timers;
	struct aub_event_ring *events;
};

struct aub_keeper *aub_keeper_new(const struct aub_keeper_options *options);
void aub_keeper_free(struct aub_keeper *keeper);

enum aub_keeper_place {
	AUB_KEEPER_HERE,
	AUB_KEEPER_ELSEWHERE, /* with a member */
	AUB_KEEPER_GONE, /* nobody knows any more what ran under it */
	AUB_KEEPER_INVALID /* no entry handed out such a grant */
};

/* Who keeps `key`. `*member` is set for ELSEWHERE; borrowed from the view. */
enum aub_keeper_place aub_keeper_locate(const struct aub_keeper *keeper,
					const char *key,
					const struct aub_member **member);

/* The end of a running key; `answer` is borrowed. */
typedef void aub_keeper_waiter(const struct aub_answer *answer, void *context);

/*
 * Begin or repeat a keyed request here. For RUNNING, `waiter` is called at
 * its end, unless aub_keeper_leave() came first. For KEPT, `*kept` is the
 * kept answer, owned by the caller.
 */
enum aub_key_verdict aub_keeper_begin(struct aub_keeper *keeper,
				      const struct aub_call *call,
				      aub_keeper_waiter *waiter, void *context,
				      struct aub_answer **kept);
void aub_keeper_leave(struct aub_keeper *keeper, const char *key,
		      void *context);

/* The run under `key` ended; `answer` is borrowed. */
void aub_keeper_finish(struct aub_keeper *keeper, const char *key,
		       const struct aub_answer *answer);

/* Keys handed over by a stopping entry. */
void aub_keeper_adopt(struct aub_keeper *keeper, const struct aub_keys *keys);

/*
 * Hand all keys to a live member; `done` gets its incarnation, or 0 when no
 * member could take them. No key may be running. From now on new keys are
 * kept by the heir.
 */
typedef void aub_keeper_done(guint64 successor, void *context);
void aub_keeper_hand_over(struct aub_keeper *keeper, struct aub_relay *relay,
			  aub_keeper_done *done, void *context);
void aub_keeper_acknowledged(struct aub_keeper *keeper,
			     const struct aub_keys_ack *ack);

/* A planned stop nears: from now on this entry begins no key. */
void aub_keeper_close(struct aub_keeper *keeper);
bool aub_keeper_closed(const struct aub_keeper *keeper);

guint aub_keeper_count(const struct aub_keeper *keeper);
gsize aub_keeper_bytes(const struct aub_keeper *keeper);

G_END_DECLS

#endif
