/*
 * Gossip with the other controls: a few exchanges a second, each over a link
 * that is kept while it is used, and configuration pulled from whoever holds
 * a newer one.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/control.h>
#include <auburnstile/internal/compression.h>
#include <auburnstile/log.h>

#include <string.h>

#define CONNECT_MS 700
#define SILENT_US ((gint64)1000000) /* no answer for so long: dead link */
#define IDLE_US ((gint64)60000000) /* unused for so long: closed */
#define PULL_US ((gint64)1000000) /* wait for one pull before another */
#define OBJECT_LIMIT ((gsize)2 << 20) /* the store's is a megabyte */
#define HURRY_PEERS 3
#define HURRY_PER_S 6 /* extra exchanges a second, for news of members */
#define URGENT_PER_S 24 /* and of configuration or assignments: rare */

/* A link to or from one peer. */
struct peer {
	struct aubi_peers *task;
	struct aub_link *link; /* owned */
	char *address; /* that was connected to; NULL for accepted ones */
	bool wants_ask; /* ask as soon as it is up */
	gint64 asked_us; /* an answer is due; 0 for none */
	gint64 used_us;
};

struct aubi_peers {
	struct aubi_control *control;
	struct aub_link_server *server;
	GHashTable *outward; /* address -> struct peer, owned */
	GHashTable *inward; /* set of struct peer, owned */
	guint gossip_timer;
	gint64 pulled_us;
	guint64 pulled_version;
	guint64 pulled_epoch;
	gint64 hurry_from_us; /* start of the second being counted */
	guint hurried;
};

static gint64 now_of(const struct aubi_peers *task)
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

/* Drops the peer and its link; the peer is gone after this. */
static void peer_drop(struct peer *peer)
{
	if (peer->address)
		g_hash_table_remove(peer->task->outward, peer->address);
	else
		g_hash_table_remove(peer->task->inward, peer);
}

static void peer_send(struct peer *peer, const struct aub_message *message)
{
	struct aubi_control *control = peer->task->control;

	aub_metrics_add(control->metrics, control->series_messages, 1);
	peer->used_us = now_of(peer->task);
	aub_link_send(peer->link, message);
}

/* Versions, freshness and the store's state, as every gossip says them. */
static struct aub_gossip *gossip_new(const struct aubi_control *control,
				     gint64 now_us)
{
	struct aub_gossip *gossip;
	gint64 fresh_us;

	gossip = (struct aub_gossip *)aub_message_new(AUB_MESSAGE_GOSSIP);
	fresh_us = aubi_agreement_fresh_us(&control->agreement, now_us);
	gossip->config_version = control->agreement.config_version;
	gossip->epoch = control->agreement.epoch;
	gossip->store_reachable = control->store_reachable;
	gossip->fresh_ms = G_MAXUINT32;
	if (fresh_us != AUBI_MEMBER_NEVER)
		gossip->fresh_ms =
			(guint32)MIN(fresh_us / 1000 + 1, G_MAXUINT32);
	return gossip;
}

static void peer_ask(struct peer *peer)
{
	struct aubi_control *control = peer->task->control;
	gint64 now_us = now_of(peer->task);
	struct aub_gossip *gossip;

	if (!aub_link_is_up(peer->link)) {
		peer->wants_ask = true;
		return;
	}
	peer->wants_ask = false;
	if (!peer->asked_us)
		peer->asked_us = now_us;
	gossip = gossip_new(control, now_us);
	aubi_membership_ask(control->membership, gossip, now_us);
	aub_metrics_add(control->metrics, control->series_exchanges, 1);
	peer_send(peer, &gossip->base);
	aub_message_free(&gossip->base);
}

/* Ask for what the peer holds and this control doesn't, once at a time. */
static void pull(struct peer *peer, const struct aub_gossip *heard)
{
	struct aubi_peers *task = peer->task;
	const struct aubi_agreement *held = &task->control->agreement;
	gint64 now_us = now_of(task);
	struct aub_config_pull *message;

	if (heard->config_version <= held->config_version &&
	    heard->epoch <= held->epoch)
		return;
	if (now_us - task->pulled_us < PULL_US &&
	    heard->config_version <= task->pulled_version &&
	    heard->epoch <= task->pulled_epoch)
		return;
	task->pulled_us = now_us;
	task->pulled_version = heard->config_version;
	task->pulled_epoch = heard->epoch;
	message = (struct aub_config_pull *)aub_message_new(
		AUB_MESSAGE_CONFIG_PULL);
	message->config_version = held->config_version;
	message->epoch = held->epoch;
	peer_send(peer, &message->base);
	aub_message_free(&message->base);
}

static void on_gossip(struct peer *peer, const struct aub_gossip *heard)
{
	struct aubi_control *control = peer->task->control;
	const struct aub_hello *hello = aub_link_hello(peer->link);
	gint64 now_us = now_of(peer->task);
	struct aub_gossip *answer = gossip_new(control, now_us);
	bool changed;

	if (heard->echo)
		peer->asked_us = 0;
	changed = aubi_membership_hear(control->membership, hello->name,
				       hello->incarnation, heard, now_us);
	aubi_agreement_relayed(&control->agreement, heard, now_us);
	if (aubi_membership_answer(control->membership, heard,
				   aubi_agreement_is_behind(
					   &control->agreement),
				   answer, now_us))
		peer_send(peer, &answer->base);
	aub_message_free(&answer->base);
	pull(peer, heard);
	if (changed)
		aubi_control_members_changed(control);
}

static void set_packed(struct aub_bytes *field, GBytes *packed)
{
	gsize length;
	const void *data = g_bytes_get_data(packed, &length);

	aub_bytes_set(field, data, length);
}

static void on_pull(struct peer *peer, const struct aub_config_pull *wanted)
{
	struct aubi_control *control = peer->task->control;
	struct aub_config_push *push;
	GBytes *packed;
	char *text;

	push = (struct aub_config_push *)aub_message_new(AUB_MESSAGE_CONFIG);
	if (control->agreement.config_version > wanted->config_version) {
		push->config_version = control->agreement.config_version;
		set_packed(&push->config, aubi_book_packed(control->book));
	}
	if (control->agreement.epoch > wanted->epoch) {
		push->epoch = control->agreement.epoch;
		text = aubi_assignments_serialize(control->assignments, "");
		packed = aubi_compress(text, strlen(text));
		set_packed(&push->assignments, packed);
		g_bytes_unref(packed);
		g_free(text);
	}
	peer_send(peer, &push->base);
	aub_message_free(&push->base);
}

/* aubi_control_take_config() or its like of the assignments. */
typedef bool take_function(struct aubi_control *control, const char *json,
			   gsize length, guint64 version, const char *source);

/* Unpack one object and hand it to the hub. */
static void take_packed(struct peer *peer, const struct aub_bytes *packed,
			guint64 version, take_function *take)
{
	const char *from = aub_link_hello(peer->link)->name;
	GError *error = NULL;
	const char *json;
	GBytes *bytes;
	gsize length;

	bytes = aubi_decompress(packed->data, packed->length, OBJECT_LIMIT, from,
			    &error);
	if (!bytes) {
		aub_log_warning("version %" G_GUINT64_FORMAT " refused: %s",
				version, error->message);
		g_error_free(error);
		return;
	}
	json = g_bytes_get_data(bytes, &length);
	take(peer->task->control, json, length, version, from);
	g_bytes_unref(bytes);
}

static void on_push(struct peer *peer, const struct aub_config_push *push)
{
	peer->task->pulled_us = 0;
	if (push->config_version)
		take_packed(peer, &push->config, push->config_version,
			    aubi_control_take_config);
	if (push->epoch)
		take_packed(peer, &push->assignments, push->epoch,
			    aubi_control_take_assignments);
}

static void on_up(struct aub_link *link, const struct aub_hello *hello,
		  void *context)
{
	struct peer *peer = context;

	if (hello->role != AUB_ROLE_CONTROL) {
		aub_log_warning("%s is no control", aub_link_peer(link));
		peer_drop(peer);
		return;
	}
	if (peer->wants_ask)
		peer_ask(peer);
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
	aub_log_debug("control link %s ended: %s", aub_link_peer(link),
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
	peer->used_us = now_of(task);
	g_hash_table_add(task->inward, peer);
	*context = peer;
	return &peer_callbacks;
}

void aubi_peers_hello(const struct aubi_control *control,
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
	struct peer *peer = g_hash_table_lookup(task->outward, address);
	struct aub_hello *hello;

	if (peer)
		return peer;
	hello = (struct aub_hello *)aub_message_new(AUB_MESSAGE_HELLO);
	aubi_peers_hello(task->control, hello);
	peer = g_new0(struct peer, 1);
	peer->task = task;
	peer->address = g_strdup(address);
	peer->used_us = now_of(task);
	g_hash_table_insert(task->outward, peer->address, peer);
	peer->link = aub_link_connect(address, hello, CONNECT_MS,
				      &peer_callbacks, peer);
	aub_message_free(&hello->base);
	return peer;
}

static void exchange(struct aubi_peers *task)
{
	struct aubi_control *control = task->control;
	const char *address;

	address = aubi_membership_pick(control->membership, now_of(task));
	if (address && strcmp(address, control->settings->inner) != 0)
		peer_ask(connect_to(task, address));
}

void aubi_peers_hurry(struct aubi_peers *task, bool urgent)
{
	guint limit = urgent ? URGENT_PER_S : HURRY_PER_S;
	gint64 now_us;
	guint i;

	if (!task)
		return;
	now_us = now_of(task);
	if (now_us - task->hurry_from_us >= AUB_SECOND) {
		task->hurry_from_us = now_us;
		task->hurried = 0;
	}
	for (i = 0; i < HURRY_PEERS && task->hurried < limit; i++) {
		task->hurried++;
		exchange(task);
	}
}

/*
 * An open connection can go silent for good while new ones work. The peer
 * would look dead though it lives. An answer overdue by a second ends the
 * link; the next exchange opens another.
 */
static gboolean is_spent(void *key, void *value, void *context)
{
	struct peer *peer = value;
	gint64 now_us = now_of(peer->task);
	struct aubi_control *control = peer->task->control;

	if (peer->asked_us && now_us - peer->asked_us > SILENT_US) {
		aub_metrics_add(control->metrics, control->series_silent, 1);
		aub_log_info("control link %s is silent: closed",
			     aub_link_peer(peer->link));
		return TRUE;
	}
	return now_us - peer->used_us > IDLE_US;
}

static void on_gossip_due(void *context, gint64 now_us)
{
	struct aubi_peers *task = context;

	g_hash_table_foreach_remove(task->outward, is_spent, NULL);
	g_hash_table_foreach_remove(task->inward, is_spent, NULL);
	exchange(task);
}

struct aubi_peers *aubi_peers_new(struct aubi_control *control, GError **error)
{
	struct aubi_peers *task = g_new0(struct aubi_peers, 1);
	struct aub_hello *hello;

	task->control = control;
	task->outward =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	task->inward = g_hash_table_new_full(NULL, NULL, peer_free, NULL);
	hello = (struct aub_hello *)aub_message_new(AUB_MESSAGE_HELLO);
	aubi_peers_hello(control, hello);
	task->server = aub_link_server_new(control->settings->inner, hello,
					   on_accepted, task, error);
	aub_message_free(&hello->base);
	if (!task->server) {
		aubi_peers_free(task);
		return NULL;
	}
	task->gossip_timer =
		aub_timer_every(control->timers, "gossip", AUBI_GOSSIP_US,
				on_gossip_due, task);
	return task;
}

void aubi_peers_free(struct aubi_peers *task)
{
	if (!task)
		return;
	aub_timer_cancel(task->control->timers, task->gossip_timer);
	aub_link_server_free(task->server);
	g_hash_table_destroy(task->outward);
	g_hash_table_destroy(task->inward);
	g_free(task);
}
