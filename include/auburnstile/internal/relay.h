/*
 * Requests between entries, over one link per peer entry: outbound calls and
 * inbound calls.
 */
#ifndef AUBURNSTILE_INTERNAL_RELAY_H
#define AUBURNSTILE_INTERNAL_RELAY_H

#include <auburnstile/event.h>
#include <auburnstile/message.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_relay;
struct aub_relay_call; /* an outbound call */
struct aub_relay_inbound; /* an inbound call that has not been answered */

struct aub_relay_options {
	const struct aub_hello *hello; /* of this entry; listens on `address` */
	struct aub_timer_service *timers; /* borrowed */
	struct aub_event_ring *events; /* borrowed */

	/* Returns true if an entry with this incarnation may open a link. */
	bool (*is_member)(guint64 incarnation, void *context);
	/*
	 * Called for an inbound call; the callee owns `call`. It must call
	 * aub_relay_answer() exactly once, unless `cancelled` was called first.
	 */
	void (*arrived)(struct aub_relay_inbound *inbound,
			struct aub_call *call, void *context);
	/*
	 * Called when the sender has cancelled or disconnected; `inbound` must
	 * not be used any more.
	 */
	void (*cancelled)(struct aub_relay_inbound *inbound, void *context);
	/*
	 * Called for keys sent to this entry; they are acknowledged on return.
	 */
	void (*keys)(const struct aub_keys *keys, void *context);
	void (*keys_ack)(const struct aub_keys_ack *ack, void *context);
	/*
	 * Called for upstream states from an owner; `incarnation` is the
	 * sender's.
	 */
	void (*states)(const struct aub_upstream_states *states,
		       guint64 incarnation, void *context);
	/* Called when the link to a watched peer came up or went down. */
	void (*changed)(void *context);
	void *context;
};

struct aub_relay *aub_relay_new(const struct aub_relay_options *options,
				GError **error);

/* Frees the relay without calling the callbacks of open calls. */
void aub_relay_free(struct aub_relay *relay);

enum aub_relay_result {
	AUB_RELAY_ANSWERED,
	AUB_RELAY_NOT_SENT, /* it is certain that the peer did not receive it */
	AUB_RELAY_LOST /* the link ended; the peer may have received it */
};

/* `answer` is only set for AUB_RELAY_ANSWERED; the callee owns it. */
typedef void aub_relay_callback(enum aub_relay_result result,
				struct aub_answer *answer, void *context);

/*
 * Sends `call` to a member and sets `call->receiver` to its incarnation. `call`
 * is borrowed until the callback, which is never called from within this
 * function. The returned handle is valid until the callback.
 */
struct aub_relay_call *aub_relay_send(struct aub_relay *relay,
				      const struct aub_member *member,
				      struct aub_call *call,
				      aub_relay_callback *callback,
				      void *context);

/* Cancels the call at the peer; the callback will not be called. */
void aub_relay_cancel(struct aub_relay_call *call);

/* Takes ownership of `answer`. */
void aub_relay_answer(struct aub_relay_inbound *inbound,
		      struct aub_answer *answer);
void aub_relay_inbound_set_data(struct aub_relay_inbound *inbound, void *data);
void *aub_relay_inbound_data(const struct aub_relay_inbound *inbound);

/* Returns the zone of the entry that sent the call; borrowed. */
const char *aub_relay_inbound_zone(const struct aub_relay_inbound *inbound);

/*
 * Sends a message over the link to a member; returns false if the link is not
 * up.
 */
bool aub_relay_send_message(struct aub_relay *relay, guint64 incarnation,
			    const struct aub_message *message);

/*
 * Keeps a link to this member open and checks frequently whether it responds.
 * aub_relay_unwatch_all() ends all watches; the links stay open.
 */
void aub_relay_watch(struct aub_relay *relay, const struct aub_member *member);
void aub_relay_unwatch_all(struct aub_relay *relay);

enum aub_peer_state {
	AUB_PEER_UNTRIED, /* no link yet, or one is being opened */
	AUB_PEER_UP,
	/* The last connection attempt failed, or the link was lost. */
	AUB_PEER_DOWN
};
enum aub_peer_state aub_relay_peer_state(const struct aub_relay *relay,
					 guint64 incarnation);

G_END_DECLS

#endif
