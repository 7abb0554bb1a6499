/*
 * Gossip with other controls: a few exchanges a second, each over a link that
 * stays open while it is used. Newer configurations and assignments are pulled
 * from peers that hold them.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/control.h>
#include <auburnstile/internal/compression.h>
#include <auburnstile/log.h>

#include <string.h>

#define CONNECT_TIMEOUT_MS 700
/* A link whose answer is overdue by this time is closed as unresponsive. */
#define ANSWER_TIMEOUT_US ((gint64)1000000)
/* Time after which an unused link is closed. */
#define LINK_IDLE_TIMEOUT_US ((gint64)60000000)
#define PULL_TIMEOUT_US ((gint64)1000000) /* before another pull may start */
#define OBJECT_MAX_BYTES ((gsize)2 << 20) /* the store's limit is 1 MB */
/* Extra exchanges started for one change. */
#define EXTRA_EXCHANGE_PEERS 3
/* Limit of extra exchanges a second after member changes. */
#define EXTRA_EXCHANGES_PER_S 6
/* The same after configuration or assignment changes, which are rare. */
#define URGENT_EXCHANGES_PER_S 24

/* A link to or from one peer. */
struct peer {
	struct aubi_peers *task;
	struct aub_link *link; /* owned */
	char *address; /* connected to; NULL: accepted link */
	bool exchange_pending; /* begin an exchange when the link is up */
	gint64 request_sent_us; /* an answer is due since then; 0: none */
	gint64 used_us;
};

struct aubi_peers {
	struct aubi_control *control;
	struct aub_link_server *server;
	GHashTable *outbound; /* address -> struct peer, owned */
	GHashTable *inbound; /* set of struct peer, owned */
	guint gossip_timer;
	gint64 pulled_us;
	guint64 pulled_version;
	guint64 pulled_epoch;
	gint64 extra_window_us; /* start of the second being counted */
	guint extra_exchanges;
};

static gint64 now(const struct aubi_peers *task)
{
	return aub_timer_now(task->control->timers);
}

static void peer_free(void *data)
{
	struct peer *peer = data;

	aub_link_free(peer->link);
	g_free(peer->address);
	g_free(peer);
}

/* Closes the link and frees the peer. */
static void peer_drop(struct peer *peer)
{
	if (peer->address)
		g_hash_table_remove(peer->task->outbound, peer->address);
	else
		g_hash_table_remove(peer->task->inbound, peer);
}

static void peer_send(struct peer *peer, const struct aub_message *message)
{
	struct aubi_control *control = peer->task->control;

	aub_metrics_add(control->metrics, control->series_messages, 1);
	peer->used_us = now(peer->task);
	aub_link_send(peer->link, message);
}

/*
 * Creates a gossip message with the versions, their freshness and the store's
 * state.
 */
static struct aub_gossip *gossip_new(const struct aubi_control *control,
				     gint64 now_us)
{
	struct aub_gossip *gossip;
	gint64 fresh_us;

	gossip = (struct aub_gossip *)aub_message_new(AUB_MESSAGE_GOSSIP);
	fresh_us = aubi_agreement_config_age_us(&control->agreement, now_us);
	gossip->config_version = control->agreement.config_version;
	gossip->epoch = control->agreement.epoch;
	gossip->store_reachable = control->store_reachable;
	gossip->fresh_ms = G_MAXUINT32;
	if (fresh_us != AUBI_AGE_UNKNOWN_US)
		gossip->fresh_ms =
			(guint32)MIN(fresh_us / 1000 + 1, G_MAXUINT32);
	return gossip;
}

static void peer_begin_exchange(struct peer *peer)
{
	struct aubi_control *control = peer->task->control;
	gint64 now_us = now(peer->task);
	struct aub_gossip *gossip;

	if (!aub_link_is_up(peer->link)) {
		peer->exchange_pending = true;
		return;
	}
	peer->exchange_pending = false;
	if (!peer->request_sent_us)
		peer->request_sent_us = now_us;
	gossip = gossip_new(control, now_us);
	aubi_membership_begin_exchange(control->membership, gossip, now_us);
	aub_metrics_add(control->metrics, control->series_exchanges, 1);
	peer_send(peer, &gossip->base);
	aub_message_free(&gossip->base);
}

/*
 * Requests the newer versions that the peer holds; one pull at a time.
 */
static void pull(struct peer *peer, const struct aub_gossip *received)
{
	struct aubi_peers *task = peer->task;
	const struct aubi_agreement *agreement = &task->control->agreement;
	gint64 now_us = now(task);
	struct aub_config_pull *message;

	if (received->config_version <= agreement->config_version &&
	    received->epoch <= agreement->epoch)
		return;
	if (now_us - task->pulled_us < PULL_TIMEOUT_US &&
	    received->config_version <= task->pulled_version &&
	    received->epoch <= task->pulled_epoch)
		return;
	task->pulled_us = now_us;
	task->pulled_version = received->config_version;
	task->pulled_epoch = received->epoch;
	message = (struct aub_config_pull *)aub_message_new(
		AUB_MESSAGE_CONFIG_PULL);
	message->config_version = agreement->config_version;
	message->epoch = agreement->epoch;
	peer_send(peer, &message->base);
	aub_message_free(&message->base);
}

static void on_gossip(struct peer *peer, const struct aub_gossip *received)
{
	struct aubi_control *control = peer->task->control;
	const struct aub_hello *hello = aub_link_peer_hello(peer->link);
	gint64 now_us = now(peer->task);
	struct aub_gossip *answer = gossip_new(control, now_us);
	bool changed;

	if (received->echo)
		peer->request_sent_us = 0;
	changed = aubi_membership_receive(control->membership, hello->name,
					  hello->incarnation, received, now_us);
	aubi_agreement_receive_gossip(&control->agreement, received, now_us);
	if (aubi_membership_reply(control->membership, received,
				  aubi_agreement_is_behind(&control->agreement),
				  answer, now_us))
		peer_send(peer, &answer->base);
	aub_message_free(&answer->base);
	pull(peer, received);
	if (changed)
		aubi_control_members_changed(control);
}

static void set_bytes(struct aub_bytes *field, GBytes *compressed)
{
	gsize length;
	const void *data = g_bytes_get_data(compressed, &length);

	aub_bytes_set(field, data, length);
}

static void on_pull(struct peer *peer, const struct aub_config_pull *wanted)
{
	struct aubi_control *control = peer->task->control;
	struct aub_config_push *push;
	GBytes *compressed;
	char *text;

	push = (struct aub_config_push *)aub_message_new(AUB_MESSAGE_CONFIG);
	if (control->agreement.config_version > wanted->config_version) {
		push->config_version = control->agreement.config_version;
		set_bytes(&push->config,
			  aubi_config_history_compressed(control->history));
	}
	if (control->agreement.epoch > wanted->epoch) {
		push->epoch = control->agreement.epoch;
		text = aubi_assignments_serialize(control->assignments, "");
		compressed = aubi_compress(text, strlen(text));
		set_bytes(&push->assignments, compressed);
		g_bytes_unref(compressed);
		g_free(text);
	}
	peer_send(peer, &push->base);
	aub_message_free(&push->base);
}

/* aubi_control_adopt_config() or aubi_control_adopt_assignments(). */
typedef bool adopt_function(struct aubi_control *control, const char *json,
			    gsize length, guint64 version, const char *source);

/* Decompresses one object and passes it to the hub. */
static void adopt_compressed(struct peer *peer,
			     const struct aub_bytes *compressed,
			     guint64 version, adopt_function *adopt)
{
	const char *from = aub_link_peer_hello(peer->link)->name;
	GError *error = NULL;
	const char *json;
	GBytes *bytes;
	gsize length;

	bytes = aubi_decompress(compressed->data, compressed->length,
				OBJECT_MAX_BYTES, from, &error);
	if (!bytes) {
		aub_log_warning("version %" G_GUINT64_FORMAT " rejected: %s",
				version, error->message);
		g_error_free(error);
		return;
	}
	json = g_bytes_get_data(bytes, &length);
	adopt(peer->task->control, json, length, version, from);
	g_bytes_unref(bytes);
}

static void on_push(struct peer *peer, const struct aub_config_push *push)
{
	peer->task->pulled_us = 0;
	if (push->config_version)
		adopt_compressed(peer, &push->config, push->config_version,
				 aubi_control_adopt_config);
	if (push->epoch)
		adopt_compressed(peer, &push->assignments, push->epoch,
				 aubi_control_adopt_assignments);
}

static void on_up(struct aub_link *link, const struct aub_hello *hello,
		  void *context)
{
	struct peer *peer = context;

	if (hello->role != AUB_ROLE_CONTROL) {
		aub_log_warning("%s is not a control", aub_link_peer(link));
		peer_drop(peer);
		return;
	}
	if (peer->exchange_pending)
		peer_begin_exchange(peer);
}

static void on_message(struct aub_link *link, struct aub_message *message,
		       void *context)
{
	struct peer *peer = context;

	switch (message->type) {
	case AUB_MESSAGE_GOSSIP:
		on_gossip(peer, (struct aub_gossip *)message);
		break;
	case AUB_MESSAGE_CONFIG_PULL:
		on_pull(peer, (struct aub_config_pull *)message);
		break;
	case AUB_MESSAGE_CONFIG:
		on_push(peer, (struct aub_config_push *)message);
		break;
	default:
		aub_log_warning("control link %s: unexpected %s",
				aub_link_peer(link),
				aub_message_type_name(message->type));
		peer_drop(peer);
	}
	aub_message_free(message);
}

static void on_down(struct aub_link *link, const GError *error, void *context)
{
	aub_log_debug("control link %s closed: %s", aub_link_peer(link),
		      error ? error->message : "closed");
	peer_drop(context);
}

static const struct aub_link_callbacks peer_callbacks = {
	.up = on_up,
	.message = on_message,
	.down = on_down,
};

static const struct aub_link_callbacks *on_accepted(
	struct aub_link *link, const struct aub_hello *hello,
	void *server_context, void **context)
{
	struct aubi_peers *task = server_context;
	struct peer *peer;

	if (hello->role == AUB_ROLE_ENTRY) {
		if (!aubi_entry_task_accept(task->control->entry, link, hello))
			return NULL;
		*context = task->control->entry;
		return aubi_entry_task_callbacks();
	}
	peer = g_new0(struct peer, 1);
	peer->task = task;
	peer->link = link;
	peer->used_us = now(task);
	g_hash_table_add(task->inbound, peer);
	*context = peer;
	return &peer_callbacks;
}

void aubi_peers_fill_hello(const struct aubi_control *control,
			   struct aub_hello *hello)
{
	hello->role = AUB_ROLE_CONTROL;
	hello->incarnation =
		aubi_membership_self(control->membership)->control_incarnation;
	aub_string_set(&hello->name, control->settings->name);
	aub_string_set(&hello->zone, control->settings->zone);
	aub_string_set(&hello->address, control->settings->inner);
	aub_string_set(&hello->admin_address, control->settings->admin);
}

static struct peer *connect_to(struct aubi_peers *task, const char *address)
{
	struct peer *peer = g_hash_table_lookup(task->outbound, address);
	struct aub_hello *hello;

	if (peer)
		return peer;
	hello = (struct aub_hello *)aub_message_new(AUB_MESSAGE_HELLO);
	aubi_peers_fill_hello(task->control, hello);
	peer = g_new0(struct peer, 1);
	peer->task = task;
	peer->address = g_strdup(address);
	peer->used_us = now(task);
	g_hash_table_insert(task->outbound, peer->address, peer);
	peer->link = aub_link_connect(address, hello, CONNECT_TIMEOUT_MS,
				      &peer_callbacks, peer);
	aub_message_free(&hello->base);
	return peer;
}

static void begin_exchange(struct aubi_peers *task)
{
	struct aubi_control *control = task->control;
	const char *address;

	address = aubi_membership_pick_peer(control->membership, now(task));
	if (address && strcmp(address, control->settings->inner) != 0)
		peer_begin_exchange(connect_to(task, address));
}

void aubi_peers_gossip_now(struct aubi_peers *task, bool urgent)
{
	guint limit = urgent ? URGENT_EXCHANGES_PER_S : EXTRA_EXCHANGES_PER_S;
	gint64 now_us;
	guint i;

	if (!task)
		return;
	now_us = now(task);
	if (now_us - task->extra_window_us >= AUB_SECOND) {
		task->extra_window_us = now_us;
		task->extra_exchanges = 0;
	}
	for (i = 0; i < EXTRA_EXCHANGE_PEERS && task->extra_exchanges < limit;
	     i++) {
		task->extra_exchanges++;
		begin_exchange(task);
	}
}

/*
 * An open connection can become half-open while new ones work, and the peer
 * would look dead although it is alive. A link whose answer is overdue by a
 * second is closed; the next exchange opens a new one.
 */
static gboolean should_close(void *key, void *value, void *context)
{
	struct peer *peer = value;
	gint64 now_us = now(peer->task);
	struct aubi_control *control = peer->task->control;

	if (peer->request_sent_us &&
	    now_us - peer->request_sent_us > ANSWER_TIMEOUT_US) {
		aub_metrics_add(control->metrics,
				control->series_unresponsive_links, 1);
		aub_log_info("control link %s is unresponsive: closing it",
			     aub_link_peer(peer->link));
		return TRUE;
	}
	return now_us - peer->used_us > LINK_IDLE_TIMEOUT_US;
}

static void on_gossip_due(void *context, gint64 now_us)
{
	struct aubi_peers *task = context;

	g_hash_table_foreach_remove(task->outbound, should_close, NULL);
	g_hash_table_foreach_remove(task->inbound, should_close, NULL);
	begin_exchange(task);
}

struct aubi_peers *aubi_peers_new(struct aubi_control *control, GError **error)
{
	struct aubi_peers *task = g_new0(struct aubi_peers, 1);
	struct aub_hello *hello;

	task->control = control;
	task->outbound =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	task->inbound = g_hash_table_new_full(NULL, NULL, peer_free, NULL);
	hello = (struct aub_hello *)aub_message_new(AUB_MESSAGE_HELLO);
	aubi_peers_fill_hello(control, hello);
	task->server = aub_link_server_new(control->settings->inner, hello,
					   on_accepted, task, error);
	aub_message_free(&hello->base);
	if (!task->server) {
		aubi_peers_free(task);
		return NULL;
	}
	task->gossip_timer =
		aub_timer_every(control->timers, "gossip",
				AUBI_GOSSIP_INTERVAL_US, on_gossip_due, task);
	return task;
}

void aubi_peers_free(struct aubi_peers *task)
{
	if (!task)
		return;
	aub_timer_cancel(task->control->timers, task->gossip_timer);
	aub_link_server_free(task->server);
	g_hash_table_destroy(task->outbound);
	g_hash_table_destroy(task->inbound);
	g_free(task);
}
