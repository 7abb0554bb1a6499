/*
 * Links that other entries opened to this one, and the calls that came over
 * them.
 */
#include <auburnstile/internal/relay_guests.h>
#include <auburnstile/link.h>
#include <auburnstile/log.h>

/* A link that a peer opened to this entry. */
struct guest {
	struct aub_relay_guests *guests;
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

struct aub_relay_guests {
	const struct aub_relay_options *options; /* borrowed */
	struct aub_link_server *server;
	GHashTable *links; /* set of struct guest */
};

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
	struct aub_relay_guests *guests = inbound->guest->guests;

	g_hash_table_remove(inbound->guest->inbound, &inbound->id);
	guests->options->gone(inbound, guests->options->context);
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
	g_hash_table_remove(guest->guests->links, guest);
	guest_free(guest);
}

static void take_call(struct guest *guest, struct aub_call *call)
{
	struct aub_relay_guests *guests = guest->guests;
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
	guests->options->arrived(inbound, call, guests->options->context);
}

static void take_keys(struct guest *guest, const struct aub_keys *keys)
{
	struct aub_relay_guests *guests = guest->guests;
	struct aub_keys_ack *ack;

	if (keys->incarnation != guest->incarnation)
		return;
	guests->options->keys(keys, guests->options->context);
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
	case AUB_MESSAGE_UPSTREAM_STATES:
		guest->guests->options->states((struct aub_upstream_states *)message,
					       guest->incarnation,
					       guest->guests->options->context);
		break;
	case AUB_MESSAGE_KEYS:
		take_keys(guest, (struct aub_keys *)message);
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
	struct aub_relay_guests *guests = server_context;
	struct guest *guest;

	if (hello->role != AUB_ROLE_ENTRY ||
	    !guests->options->known(hello->incarnation,
				    guests->options->context)) {
		aub_log_info("refused a link from %s: not a member",
			     aub_link_peer(link));
		return NULL;
	}
	guest = g_new0(struct guest, 1);
	guest->guests = guests;
	guest->link = link;
	guest->zone = g_strdup(hello->zone);
	guest->incarnation = hello->incarnation;
	guest->inbound = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_add(guests->links, guest);
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

struct aub_relay_guests *aub_relay_guests_new(
	const struct aub_relay_options *options, GError **error)
{
	struct aub_relay_guests *guests = g_new0(struct aub_relay_guests, 1);

	guests->options = options;
	guests->links = g_hash_table_new(NULL, NULL);
	guests->server =
		aub_link_server_new(options->hello->address, options->hello,
				    on_accepted, guests, error);
	if (!guests->server) {
		aub_relay_guests_free(guests);
		return NULL;
	}
	return guests;
}

void aub_relay_guests_free(struct aub_relay_guests *guests)
{
	GHashTableIter iterator;
	void *key;

	if (!guests)
		return;
	aub_link_server_free(guests->server);
	g_hash_table_iter_init(&iterator, guests->links);
	while (g_hash_table_iter_next(&iterator, &key, NULL))
		guest_free(key);
	g_hash_table_unref(guests->links);
	g_free(guests);
}
