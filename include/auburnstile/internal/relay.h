/*
 * Requests between entries: a link to each entry spoken to, calls out and
 * calls in.
 */
#ifndef AUBURNSTILE_INTERNAL_RELAY_H
#define AUBURNSTILE_INTERNAL_RELAY_H

#include <auburnstile/event.h>
#include <auburnstile/message.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_relay;
struct aub_relay_call; /* one call out */
struct aub_relay_inbound; /* one call in, being answered */

struct aub_relay_options {
	const struct aub_hello *hello; /* its own, `address` listened on */
	struct aub_timer_service *timers; /* borrowed */
	struct aub_event_ring *events; /* borrowed */

	/* May an entry of this incarnation link to this one? */
	bool (*known)(guint64 incarnation, void *context);
	/*
	 * A call came in; `call` is owned by the callee. Exactly one
	 * aub_relay_answer() follows, unless `gone` came first.
	 */
	void (*arrived)(struct aub_relay_inbound *inbound,
			struct aub_call *call, void *context);
	/* Nobody waits for its answer any more: don't use `inbound` again. */
	void (*gone)(struct aub_relay_inbound *inbound, void *context);
	/* Keys were handed to this entry; acknowledged on return. */
	void (*keys)(const struct aub_keys *keys, void *context);
	void (*keys_ack)(const struct aub_keys_ack *ack, void *context);
	/* An owner tells what it knows; `incarnation` is the sender's. */
	void (*states)(const struct aub_upstream_states *states, guint64 incarnation,
		       void *context);
	/* A watched peer's link came up or went down. */
	void (*changed)(void *context);
	void *context;
};

struct aub_relay *aub_relay_new(const struct aub_relay_options *options,
				GError **error);

/* Callbacks of open calls are not called. */
void aub_relay_free(struct aub_relay *relay);

enum aub_relay_result {
	AUB_RELAY_ANSWERED,
	AUB_RELAY_NOT_SENT, /* provably not received */
	AUB_RELAY_LOST /* the link ended: it may have been received */
};

/* `answer` is set for ANSWERED alone and owned by the callee. */
typedef void aub_relay_callback(enum aub_relay_result result,
				struct aub_answer *answer, void *context);

/*
 * Send `call` (borrowed until the callback) to the member, whose incarnation
 * goes into `call->receiver`. The callback is never called from within. The
 * handle is valid until then.
 */
struct aub_relay_call *aub_relay_send(struct aub_relay *relay,
				      const struct aub_member *member,
				      struct aub_call *call,
				      aub_relay_callback *callback,
				      void *context);

/* Tell the peer to give up; the callback isn't called any more. */
void aub_relay_cancel(struct aub_relay_call *call);

/* `answer` is taken over. */
void aub_relay_answer(struct aub_relay_inbound *inbound,
		      struct aub_answer *answer);
void aub_relay_inbound_set_data(struct aub_relay_inbound *inbound, void *data);
void *aub_relay_inbound_data(const struct aub_relay_inbound *inbound);

/* Name and zone of the entry that sent it; borrowed. */
const char *aub_relay_inbound_zone(const struct aub_relay_inbound *inbound);

/* Send a message over the link to a member; false if it isn't up. */
bool aub_relay_send_message(struct aub_relay *relay, guint64 incarnation,
			    const struct aub_message *message);

/*
 * Keep a link to this member from now on, and look often whether it lives.
 * aub_relay_watch_none() ends all watches; links stay until unused.
 */
void aub_relay_watch(struct aub_relay *relay, const struct aub_member *member);
void aub_relay_watch_none(struct aub_relay *relay);

enum aub_peer_state {
	AUB_PEER_UNTRIED, /* no link yet, or one is being opened */
	AUB_PEER_UP,
	AUB_PEER_DOWN /* the last try failed, or the link was lost */
};
enum aub_peer_state aub_relay_peer_state(const struct aub_relay *relay,
					 guint64 incarnation);

G_END_DECLS

#endif
