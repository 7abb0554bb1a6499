/*
 * Links to other entries and the outbound calls on them.
 *
 * A peer is one incarnation of an entry. Calls are queued while its link is
 * being opened. If the link ends after a call was written, the outcome of the
 * call is unknown.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/relay.h>
#include <auburnstile/internal/relay_listener.h>
#include <auburnstile/link.h>
#include <auburnstile/log.h>

#define CONNECT_TIMEOUT_MS 400

/*
 * Delay before a failed peer is tried again; until then calls fail immediately
 * and are sent elsewhere.
 */
#define PEER_RETRY_DELAY_US (100 * AUB_MS)

#define PING_INTERVAL_US (200 * AUB_MS)

/*
 * About 210 incarnations start and end per day; a departed one is forgotten
 * after this time.
 */
#define PEER_RETENTION_US (60 * AUB_SECOND)

/*
 * A link without any data for this long is closed. It is longer than the
 * typical pause caused by a noisy neighbour, and short enough that callers wait
 * less than 1 s when an owner is paused.
 */
#define LINK_TIMEOUT_US (800 * AUB_MS)

struct peer {
	struct aub_relay *relay;
	guint64 incarnation;
	char *name;
	char *address;
	struct aub_link *link;
	enum aub_peer_state state;
	bool watched;
	gint64 down_us; /* time of the last failure */
	gint64 up_us; /* when the link was last opened or came up */
	guint64 last_ping;
	GHashTable *calls; /* id -> struct aub_relay_call */
	GQueue waiting; /* of struct aub_relay_call, not yet written */
};

struct aub_relay_call {
	struct peer *peer;
	struct aub_call *message; /* borrowed */
	guint64 id;
	bool written;
	guint fail_source; /* idle source that fails the call */
	aub_relay_callback *callback;
	void *context;
};

struct aub_relay {
	struct aub_relay_options options;
	GHashTable *peers; /* incarnation -> struct peer */
	struct aub_relay_listener *listener;
	guint ping_timer;
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

		if (call->fail_source)
			g_source_remove(call->fail_source);
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

/*
 * Returns a call of a peer whose link was closed, except those that are about
 * to fail; NULL if none is left.
 */
static struct aub_relay_call *next_open_call(struct peer *peer)
{
	GHashTableIter iterator;
	void *value;

	g_hash_table_iter_init(&iterator, peer->calls);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct aub_relay_call *call = value;

		if (!call->fail_source)
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
	for (call = next_open_call(peer); call; call = next_open_call(peer))
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
	aub_link_send(call->peer->link, &call->message->base);
}

static void on_peer_up(struct aub_link *link, const struct aub_hello *hello,
		       void *context)
{
	struct peer *peer = context;
	struct aub_relay_call *call;

	/*
	 * Another process may have taken over the address. A request addressed
	 * to the previous incarnation must not run there, as it may already
	 * have run under the keys of the previous one.
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

/*
 * Opens a link unless there is one; returns false while the peer counts as
 * down.
 */
static bool ensure_link(struct peer *peer)
{
	struct aub_relay *relay = peer->relay;

	if (peer->link)
		return true;
	if (peer->state == AUB_PEER_DOWN &&
	    now(relay) - peer->down_us < PEER_RETRY_DELAY_US)
		return false;
	peer->up_us = now(relay);
	peer->link =
		aub_link_connect(peer->address, relay->options.hello,
				 CONNECT_TIMEOUT_MS, &peer_callbacks, peer);
	return true;
}

static gboolean on_fail_call(void *data)
{
	struct aub_relay_call *call = data;

	call->fail_source = 0;
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

	/*
	 * Ids are unique per peer: the id is new, or its first call has ended.
	 */
	g_assert(!g_hash_table_contains(peer->calls, &message->id));
	call = g_new0(struct aub_relay_call, 1);
	call->peer = peer;
	call->message = message;
	call->id = message->id;
	call->callback = callback;
	call->context = context;
	message->receiver = member->incarnation;
	g_hash_table_insert(peer->calls, &call->id, call);
	aub_event_record_simple(relay->options.events, AUB_EVENT_RELAYED,
				message->id, message->purpose, NULL,
				member->name);
	/*
	 * When an entry does not respond, each request for it would wait up to
	 * 400 ms for a new link that never comes up. After the first failure
	 * calls fail immediately while the link is retried concurrently.
	 */
	if (!ensure_link(peer) || peer->state == AUB_PEER_DOWN)
		call->fail_source = g_idle_add(on_fail_call, call);
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
	if (call->fail_source)
		g_source_remove(call->fail_source);
	g_queue_remove(&peer->waiting, call);
	g_hash_table_remove(peer->calls, &call->id);
	g_free(call);
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
	ensure_link(peer);
}

void aub_relay_unwatch_all(struct aub_relay *relay)
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

/*
 * Pings a peer that is watched or has open calls; returns true if its link is
 * dead.
 */
static bool check_peer(struct peer *peer, gint64 now_us)
{
	gint64 last_received_us;

	if (!peer->link)
		return false;
	if (!peer->watched && !g_hash_table_size(peer->calls))
		return false;
	last_received_us =
		MAX(aub_link_last_received_us(peer->link), peer->up_us);
	if (peer->state == AUB_PEER_UP && peer->last_ping &&
	    now_us - last_received_us > LINK_TIMEOUT_US)
		return true;
	if (peer->state == AUB_PEER_UP)
		send_ping(peer->link, ++peer->last_ping);
	return false;
}

static bool is_expired(const struct peer *peer, gint64 now_us)
{
	return !peer->link && !peer->watched &&
	       !g_hash_table_size(peer->calls) &&
	       now_us - peer->down_us > PEER_RETENTION_US;
}

static void on_ping_timer(void *context, gint64 now_us)
{
	struct aub_relay *relay = context;
	GPtrArray *dead = g_ptr_array_new();
	GHashTableIter iterator;
	void *value;

	g_hash_table_iter_init(&iterator, relay->peers);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct peer *peer = value;

		if (is_expired(peer, now_us)) {
			g_hash_table_iter_remove(&iterator);
			continue;
		}
		if (peer->watched && !peer->link)
			ensure_link(peer);
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
	relay->listener = aub_relay_listener_new(&relay->options, error);
	if (!relay->listener) {
		aub_relay_free(relay);
		return NULL;
	}
	relay->ping_timer =
		aub_timer_every(options->timers, "pings", PING_INTERVAL_US,
				on_ping_timer, relay);
	return relay;
}

void aub_relay_free(struct aub_relay *relay)
{
	if (!relay)
		return;
	aub_timer_cancel(relay->options.timers, relay->ping_timer);
	aub_relay_listener_free(relay->listener);
	g_hash_table_unref(relay->peers);
	g_free(relay);
}
