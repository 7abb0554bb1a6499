/*
 * Links between entries and the calls on them.
 *
 * A peer is one incarnation of an entry. Calls wait while its link is being
 * opened; once a call was written, the end of the link leaves it unknown.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/relay.h>
#include <auburnstile/link.h>
#include <auburnstile/log.h>

#define CONNECT_MS 400

/* A peer that failed is not tried again for this long; calls go elsewhere. */
#define DOWN_US (100 * AUB_MS)

#define PING_US (200 * AUB_MS)

/*
 * A link silent for this long is given up. Longer than a noisy neighbour's
 * usual pause; short enough that a frozen owner's callers wait under 1 s.
 */
#define SILENT_US (800 * AUB_MS)

struct peer {
	struct aub_relay *relay;
	guint64 incarnation;
	char *name;
	char *address;
	struct aub_link *link;
	enum aub_peer_state state;
	bool watched;
	gint64 down_us; /* when it last failed */
	gint64 up_us;
	guint64 ping;
	GHashTable *calls; /* id -> struct aub_relay_call */
	GQueue waiting; /* of struct aub_relay_call, not yet written */
};

struct aub_relay_call {
	struct peer *peer;
	struct aub_call *call; /* borrowed */
	guint64 id;
	bool written;
	guint source; /* failing soon, without a peer */
	aub_relay_callback *callback;
	void *context;
};

/* A link that a peer opened to this entry. */
struct guest {
	struct aub_relay *relay;
	struct aub_link *link;
	char *zone;
	guint64 incarnation;
	GHashTable *inbound; /* id -> struct aub_relay_inbound */
};

struct aub_relay_inbound {
	struct guest *guest;
	guint64 id;
	void *data;
};

struct aub_relay {
	struct aub_relay_options options;
	struct aub_link_server *server;
	GHashTable *peers; /* incarnation -> struct peer */
	GHashTable *guests; /* set of struct guest */
	guint pings;
};

static gint64 now(const struct aub_relay *relay)
{
	return aub_timer_now(relay->options.timers);
}

static void send_ping(struct aub_link *link, guint64 number)
{
	struct aub_ping *ping =
		(struct aub_ping *)aub_message_new(AUB_MESSAGE_PING);

	ping->number = number;
	aub_link_send(link, &ping->base);
	aub_message_free(&ping->base);
}

static void peer_free(void *data)
{
	struct peer *peer = data;
	GHashTableIter iterator;
	void *value;

	aub_link_free(peer->link);
	g_hash_table_iter_init(&iterator, peer->calls);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct aub_relay_call *call = value;

		if (call->source)
			g_source_remove(call->source);
		g_free(call);
	}
	g_hash_table_unref(peer->calls);
	g_queue_clear(&peer->waiting);
	g_free(peer->name);
	g_free(peer->address);
	g_free(peer);
}

static void end_call(struct aub_relay_call *call, enum aub_relay_result result,
		     struct aub_answer *answer)
{
	aub_relay_callback *callback = call->callback;
	void *context = call->context;

	g_hash_table_remove(call->peer->calls, &call->id);
	g_free(call);
	callback(result, answer, context);
}

/* Take one call out of a peer whose link is gone; NULL when none is left. */
static struct aub_relay_call *any_call(struct peer *peer)
{
	GHashTableIter iterator;
	void *value;

	g_hash_table_iter_init(&iterator, peer->calls);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct aub_relay_call *call = value;

		if (!call->source)
			return call;
	}
	return NULL;
}

static void lose_link(struct peer *peer, const char *reason)
{
	struct aub_relay *relay = peer->relay;
	struct aub_event event = { .type = AUB_EVENT_FAILED };
	struct aub_relay_call *call;

	aub_link_free(peer->link);
	peer->link = NULL;
	peer->state = AUB_PEER_DOWN;
	peer->down_us = now(relay);
	g_queue_clear(&peer->waiting);
	aub_log_info("link to %s: %s", peer->name, reason);
	g_strlcpy(event.peer, peer->name, sizeof(event.peer));
	g_strlcpy(event.text, reason, sizeof(event.text));
	aub_event_record(relay->options.events, &event);
	for (call = any_call(peer); call; call = any_call(peer))
		end_call(call,
			 call->written ? AUB_RELAY_LOST : AUB_RELAY_NOT_SENT,
			 NULL);
	if (peer->watched)
		relay->options.changed(relay->options.context);
}

static void on_peer_down(struct aub_link *link, const GError *error,
			 void *context)
{
	lose_link(context, error ? error->message : "closed");
}

static void write_call(struct aub_relay_call *call)
{
	call->written = true;
	aub_link_send(call->peer->link, &call->call->base);
}

static void on_peer_up(struct aub_link *link, const struct aub_hello *hello,
		       void *context)
{
	struct peer *peer = context;
	struct aub_relay_call *call;

	/*
	 * Failure: another process took over the address, and a request meant
	 * for the old one runs there, though the old one's keys say otherwise.
	 */
	if (hello->incarnation != peer->incarnation) {
		lose_link(peer, "another incarnation answers");
		return;
	}
	peer->state = AUB_PEER_UP;
	peer->up_us = now(peer->relay);
	for (call = g_queue_pop_head(&peer->waiting); call;
	     call = g_queue_pop_head(&peer->waiting))
		write_call(call);
	if (peer->watched)
		peer->relay->options.changed(peer->relay->options.context);
}

static void on_peer_message(struct aub_link *link, struct aub_message *message,
			    void *context)
{
	struct peer *peer = context;
	struct aub_relay *relay = peer->relay;
	struct aub_relay_call *call;
	struct aub_answer *answer;

	switch (message->type) {
	case AUB_MESSAGE_ANSWER:
		answer = (struct aub_answer *)message;
		call = g_hash_table_lookup(peer->calls, &answer->id);
		if (!call || !call->written)
			break;
		end_call(call, AUB_RELAY_ANSWERED, answer);
		return;
	case AUB_MESSAGE_KEYS_ACK:
		relay->options.keys_ack((struct aub_keys_ack *)message,
					relay->options.context);
		break;
	default:
		break;
	}
	aub_message_free(message);
}

static const struct aub_link_callbacks peer_callbacks = {
	.up = on_peer_up,
	.message = on_peer_message,
	.down = on_peer_down,
};

static struct peer *get_peer(struct aub_relay *relay,
			     const struct aub_member *member)
{
	struct peer *peer;

	peer = g_hash_table_lookup(relay->peers, &member->incarnation);
	if (peer)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->relay = relay;
	peer->incarnation = member->incarnation;
	peer->name = g_strdup(member->name);
	peer->address = g_strdup(member->inner_address);
	peer->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&peer->waiting);
	g_hash_table_insert(relay->peers, &peer->incarnation, peer);
	return peer;
}

/* Open a link unless there is one; false while the peer counts as down. */
static bool reach(struct peer *peer)
{
	struct aub_relay *relay = peer->relay;

	if (peer->link)
		return true;
	if (peer->state == AUB_PEER_DOWN &&
	    now(relay) - peer->down_us < DOWN_US)
		return false;
	peer->up_us = now(relay);
	peer->link = aub_link_connect(peer->address, relay->options.hello,
				      CONNECT_MS, &peer_callbacks, peer);
	return true;
}

static gboolean fail_soon(void *data)
{
	struct aub_relay_call *call = data;

	call->source = 0;
	end_call(call, AUB_RELAY_NOT_SENT, NULL);
	return G_SOURCE_REMOVE;
}

struct aub_relay_call *aub_relay_send(struct aub_relay *relay,
				      const struct aub_member *member,
				      struct aub_call *message,
				      aub_relay_callback *callback,
				      void *context)
{
	struct peer *peer = get_peer(relay, member);
	struct aub_relay_call *call;

	/* One call an id and peer; its id is new, or the first has ended. */
	g_assert(!g_hash_table_contains(peer->calls, &message->id));
	call = g_new0(struct aub_relay_call, 1);
	call->peer = peer;
	call->call = message;
	call->id = message->id;
	call->callback = callback;
	call->context = context;
	message->receiver = member->incarnation;
	g_hash_table_insert(peer->calls, &call->id, call);
	aub_event_note(relay->options.events, AUB_EVENT_RELAYED, message->id,
		       message->purpose, NULL, member->name);
	/*
	 * Failure: an entry went silent, and each request meant for it waits
	 * for a new link that never comes up: 400 ms for every caller. After
	 * the first, calls fail at once while the link is tried beside them.
	 */
	if (!reach(peer) || peer->state == AUB_PEER_DOWN)
		call->source = g_idle_add(fail_soon, call);
	else if (aub_link_is_up(peer->link))
		write_call(call);
	else
		g_queue_push_tail(&peer->waiting, call);
	return call;
}

void aub_relay_cancel(struct aub_relay_call *call)
{
	struct peer *peer = call->peer;
	struct aub_cancel *cancel;

	if (call->written && peer->link) {
		cancel = (struct aub_cancel *)aub_message_new(
			AUB_MESSAGE_CANCEL);
		cancel->id = call->id;
		aub_link_send(peer->link, &cancel->base);
		aub_message_free(&cancel->base);
	}
	if (call->source)
		g_source_remove(call->source);
	g_queue_remove(&peer->waiting, call);
	g_hash_table_remove(peer->calls, &call->id);
	g_free(call);
}

static void guest_free(struct guest *guest)
{
	GHashTableIter iterator;
	void *value;

	aub_link_free(guest->link);
	g_hash_table_iter_init(&iterator, guest->inbound);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		g_free(value);
	g_hash_table_unref(guest->inbound);
	g_free(guest->zone);
	g_free(guest);
}

static void drop_inbound(struct aub_relay_inbound *inbound)
{
	struct aub_relay *relay = inbound->guest->relay;

	g_hash_table_remove(inbound->guest->inbound, &inbound->id);
	relay->options.gone(inbound, relay->options.context);
	g_free(inbound);
}

static void on_guest_down(struct aub_link *link, const GError *error,
			  void *context)
{
	struct guest *guest = context;
	GHashTableIter iterator;
	void *value;

	for (;;) {
		g_hash_table_iter_init(&iterator, guest->inbound);
		if (!g_hash_table_iter_next(&iterator, NULL, &value))
			break;
		drop_inbound(value);
	}
	g_hash_table_remove(guest->relay->guests, guest);
	guest_free(guest);
}

static void take_call(struct guest *guest, struct aub_call *call)
{
	struct aub_relay *relay = guest->relay;
	struct aub_relay_inbound *inbound;

	if (g_hash_table_contains(guest->inbound, &call->id)) {
		aub_log_warning("call repeated by %s",
				aub_link_peer(guest->link));
		aub_message_free(&call->base);
		return;
	}
	inbound = g_new0(struct aub_relay_inbound, 1);
	inbound->guest = guest;
	inbound->id = call->id;
	g_hash_table_insert(guest->inbound, &inbound->id, inbound);
	relay->options.arrived(inbound, call, relay->options.context);
}

static void take_keys(struct guest *guest, const struct aub_keys *keys)
{
	struct aub_relay *relay = guest->relay;
	struct aub_keys_ack *ack;

	if (keys->incarnation != guest->incarnation)
		return;
	relay->options.keys(keys, relay->options.context);
	ack = (struct aub_keys_ack *)aub_message_new(AUB_MESSAGE_KEYS_ACK);
	ack->incarnation = keys->incarnation;
	ack->part = keys->part;
	aub_link_send(guest->link, &ack->base);
	aub_message_free(&ack->base);
}

static void on_guest_message(struct aub_link *link, struct aub_message *message,
			     void *context)
{
	struct guest *guest = context;
	struct aub_relay_inbound *inbound;

	switch (message->type) {
	case AUB_MESSAGE_CALL:
		take_call(guest, (struct aub_call *)message);
		return;
	case AUB_MESSAGE_CANCEL:
		inbound = g_hash_table_lookup(
			guest->inbound, &((struct aub_cancel *)message)->id);
		if (inbound)
			drop_inbound(inbound);
		break;
	case AUB_MESSAGE_STATES:
		guest->relay->options.states((struct aub_states *)message,
					     guest->incarnation,
					     guest->relay->options.context);
		break;
	case AUB_MESSAGE_KEYS:
		take_keys(guest, (struct aub_keys *)message);
		break;
	case AUB_MESSAGE_CRASHES:
		guest->relay->options.crashes((struct aub_crashes *)message,
					      guest->relay->options.context);
		break;
	default:
		break;
	}
	aub_message_free(message);
}

static void on_guest_up(struct aub_link *link, const struct aub_hello *hello,
			void *context)
{
}

static const struct aub_link_callbacks guest_callbacks = {
	.up = on_guest_up,
	.message = on_guest_message,
	.down = on_guest_down,
};

static const struct aub_link_callbacks *on_accepted(
	struct aub_link *link, const struct aub_hello *hello,
	void *server_context, void **context)
{
	struct aub_relay *relay = server_context;
	struct guest *guest;

	if (hello->role != AUB_ROLE_ENTRY ||
	    !relay->options.known(hello->incarnation, relay->options.context)) {
		aub_log_info("refused a link from %s: not a member",
			     aub_link_peer(link));
		return NULL;
	}
	guest = g_new0(struct guest, 1);
	guest->relay = relay;
	guest->link = link;
	guest->zone = g_strdup(hello->zone);
	guest->incarnation = hello->incarnation;
	guest->inbound = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_add(relay->guests, guest);
	*context = guest;
	return &guest_callbacks;
}

void aub_relay_answer(struct aub_relay_inbound *inbound,
		      struct aub_answer *answer)
{
	answer->id = inbound->id;
	aub_link_send(inbound->guest->link, &answer->base);
	aub_message_free(&answer->base);
	g_hash_table_remove(inbound->guest->inbound, &inbound->id);
	g_free(inbound);
}

void aub_relay_inbound_set_data(struct aub_relay_inbound *inbound, void *data)
{
	inbound->data = data;
}

void *aub_relay_inbound_data(const struct aub_relay_inbound *inbound)
{
	return inbound->data;
}

const char *aub_relay_inbound_zone(const struct aub_relay_inbound *inbound)
{
	return inbound->guest->zone;
}

bool aub_relay_send_message(struct aub_relay *relay, guint64 incarnation,
			    const struct aub_message *message)
{
	struct peer *peer = g_hash_table_lookup(relay->peers, &incarnation);

	if (!peer || !peer->link || !aub_link_is_up(peer->link))
		return false;
	return aub_link_send(peer->link, message);
}

void aub_relay_watch(struct aub_relay *relay, const struct aub_member *member)
{
	struct peer *peer = get_peer(relay, member);

	peer->watched = true;
	reach(peer);
}

void aub_relay_watch_none(struct aub_relay *relay)
{
	GHashTableIter iterator;
	void *value;

	g_hash_table_iter_init(&iterator, relay->peers);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((struct peer *)value)->watched = false;
}

enum aub_peer_state aub_relay_peer_state(const struct aub_relay *relay,
					 guint64 incarnation)
{
	const struct peer *peer =
		g_hash_table_lookup(relay->peers, &incarnation);

	return peer ? peer->state : AUB_PEER_UNTRIED;
}

/* Returns true when the link turned out to be dead. */
static bool check_peer(struct peer *peer, gint64 now_us)
{
	gint64 heard_us;

	if (!peer->link)
		return false;
	if (!peer->watched && !g_hash_table_size(peer->calls))
		return false;
	heard_us = MAX(aub_link_last_heard_us(peer->link), peer->up_us);
	if (peer->state == AUB_PEER_UP && peer->ping &&
	    now_us - heard_us > SILENT_US)
		return true;
	if (peer->state == AUB_PEER_UP)
		send_ping(peer->link, ++peer->ping);
	return false;
}

static void on_pings(void *context, gint64 now_us)
{
	struct aub_relay *relay = context;
	GPtrArray *dead = g_ptr_array_new();
	GHashTableIter iterator;
	void *value;

	g_hash_table_iter_init(&iterator, relay->peers);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct peer *peer = value;

		if (peer->watched && !peer->link)
			reach(peer);
		if (check_peer(peer, now_us))
			g_ptr_array_add(dead, peer);
	}
	for (guint i = 0; i < dead->len; i++)
		lose_link(dead->pdata[i], "silent");
	g_ptr_array_unref(dead);
}

struct aub_relay *aub_relay_new(const struct aub_relay_options *options,
				GError **error)
{
	struct aub_relay *relay = g_new0(struct aub_relay, 1);

	relay->options = *options;
	relay->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     peer_free);
	relay->guests = g_hash_table_new(NULL, NULL);
	relay->server =
		aub_link_server_new(options->hello->address, options->hello,
				    on_accepted, relay, error);
	if (!relay->server) {
		aub_relay_free(relay);
		return NULL;
	}
	relay->pings = aub_timer_every(options->timers, "pings", PING_US,
				       on_pings, relay);
	return relay;
}

void aub_relay_free(struct aub_relay *relay)
{
	GHashTableIter iterator;
	void *key;

	if (!relay)
		return;
	aub_timer_cancel(relay->options.timers, relay->pings);
	aub_link_server_free(relay->server);
	g_hash_table_unref(relay->peers);
	g_hash_table_iter_init(&iterator, relay->guests);
	while (g_hash_table_iter_next(&iterator, &key, NULL))
		guest_free(key);
	g_hash_table_unref(relay->guests);
	g_free(relay);
}
