/*
 * Links that other entries opened to this one, and the inbound calls on them.
 */
#include <auburnstile/internal/relay_listener.h>
#include <auburnstile/link.h>
#include <auburnstile/log.h>

/* A link that a peer opened to this entry. */
struct inbound_link {
	struct aub_relay_listener *listener;
	struct aub_link *link;
	char *zone;
	guint64 incarnation;
	GHashTable *inbound; /* id -> struct aub_relay_inbound */
};

struct aub_relay_inbound {
	struct inbound_link *inbound_link;
	guint64 id;
	void *data;
};

struct aub_relay_listener {
	const struct aub_relay_options *options; /* borrowed */
	struct aub_link_server *server;
	GHashTable *links; /* set of struct inbound_link */
};

static void inbound_link_free(struct inbound_link *inbound_link)
{
	GHashTableIter iterator;
	void *value;

	aub_link_free(inbound_link->link);
	g_hash_table_iter_init(&iterator, inbound_link->inbound);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		g_free(value);
	g_hash_table_unref(inbound_link->inbound);
	g_free(inbound_link->zone);
	g_free(inbound_link);
}

static void cancel_inbound(struct aub_relay_inbound *inbound)
{
	struct aub_relay_listener *listener = inbound->inbound_link->listener;

	g_hash_table_remove(inbound->inbound_link->inbound, &inbound->id);
	listener->options->cancelled(inbound, listener->options->context);
	g_free(inbound);
}

static void on_inbound_down(struct aub_link *link, const GError *error,
			    void *context)
{
	struct inbound_link *inbound_link = context;
	GHashTableIter iterator;
	void *value;

	for (;;) {
		g_hash_table_iter_init(&iterator, inbound_link->inbound);
		if (!g_hash_table_iter_next(&iterator, NULL, &value))
			break;
		cancel_inbound(value);
	}
	g_hash_table_remove(inbound_link->listener->links, inbound_link);
	inbound_link_free(inbound_link);
}

static void receive_call(struct inbound_link *inbound_link,
			 struct aub_call *call)
{
	struct aub_relay_listener *listener = inbound_link->listener;
	struct aub_relay_inbound *inbound;

	if (g_hash_table_contains(inbound_link->inbound, &call->id)) {
		aub_log_warning("duplicate call id from %s",
				aub_link_peer(inbound_link->link));
		aub_message_free(&call->base);
		return;
	}
	inbound = g_new0(struct aub_relay_inbound, 1);
	inbound->inbound_link = inbound_link;
	inbound->id = call->id;
	g_hash_table_insert(inbound_link->inbound, &inbound->id, inbound);
	listener->options->arrived(inbound, call, listener->options->context);
}

static void receive_keys(struct inbound_link *inbound_link,
			 const struct aub_keys *keys)
{
	struct aub_relay_listener *listener = inbound_link->listener;
	struct aub_keys_ack *ack;

	if (keys->incarnation != inbound_link->incarnation)
		return;
	listener->options->keys(keys, listener->options->context);
	ack = (struct aub_keys_ack *)aub_message_new(AUB_MESSAGE_KEYS_ACK);
	ack->incarnation = keys->incarnation;
	ack->part = keys->part;
	aub_link_send(inbound_link->link, &ack->base);
	aub_message_free(&ack->base);
}

static void on_inbound_message(struct aub_link *link,
			       struct aub_message *message, void *context)
{
	struct inbound_link *inbound_link = context;
	struct aub_relay_inbound *inbound;

	switch (message->type) {
	case AUB_MESSAGE_CALL:
		receive_call(inbound_link, (struct aub_call *)message);
		return;
	case AUB_MESSAGE_CANCEL:
		inbound = g_hash_table_lookup(
			inbound_link->inbound,
			&((struct aub_cancel *)message)->id);
		if (inbound)
			cancel_inbound(inbound);
		break;
	case AUB_MESSAGE_UPSTREAM_STATES:
		inbound_link->listener->options->states(
			(struct aub_upstream_states *)message,
			inbound_link->incarnation,
			inbound_link->listener->options->context);
		break;
	case AUB_MESSAGE_KEYS:
		receive_keys(inbound_link, (struct aub_keys *)message);
		break;
	default:
		break;
	}
	aub_message_free(message);
}

static void on_inbound_up(struct aub_link *link, const struct aub_hello *hello,
			  void *context)
{
}

static const struct aub_link_callbacks inbound_callbacks = {
	.up = on_inbound_up,
	.message = on_inbound_message,
	.down = on_inbound_down,
};

static const struct aub_link_callbacks *on_accepted(
	struct aub_link *link, const struct aub_hello *hello,
	void *server_context, void **context)
{
	struct aub_relay_listener *listener = server_context;
	struct inbound_link *inbound_link;

	if (hello->role != AUB_ROLE_ENTRY ||
	    !listener->options->is_member(hello->incarnation,
					  listener->options->context)) {
		aub_log_info("refused a link from %s: not a member",
			     aub_link_peer(link));
		return NULL;
	}
	inbound_link = g_new0(struct inbound_link, 1);
	inbound_link->listener = listener;
	inbound_link->link = link;
	inbound_link->zone = g_strdup(hello->zone);
	inbound_link->incarnation = hello->incarnation;
	inbound_link->inbound = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_add(listener->links, inbound_link);
	*context = inbound_link;
	return &inbound_callbacks;
}

void aub_relay_answer(struct aub_relay_inbound *inbound,
		      struct aub_answer *answer)
{
	answer->id = inbound->id;
	aub_link_send(inbound->inbound_link->link, &answer->base);
	aub_message_free(&answer->base);
	g_hash_table_remove(inbound->inbound_link->inbound, &inbound->id);
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
	return inbound->inbound_link->zone;
}

struct aub_relay_listener *aub_relay_listener_new(
	const struct aub_relay_options *options, GError **error)
{
	struct aub_relay_listener *listener =
		g_new0(struct aub_relay_listener, 1);

	listener->options = options;
	listener->links = g_hash_table_new(NULL, NULL);
	listener->server =
		aub_link_server_new(options->hello->address, options->hello,
				    on_accepted, listener, error);
	if (!listener->server) {
		aub_relay_listener_free(listener);
		return NULL;
	}
	return listener;
}

void aub_relay_listener_free(struct aub_relay_listener *listener)
{
	GHashTableIter iterator;
	void *key;

	if (!listener)
		return;
	aub_link_server_free(listener->server);
	g_hash_table_iter_init(&iterator, listener->links);
	while (g_hash_table_iter_next(&iterator, &key, NULL))
		inbound_link_free(key);
	g_hash_table_unref(listener->links);
	g_free(listener);
}
