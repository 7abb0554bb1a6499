/*
 * The entry's link to its control and the view received over it.
 *
 * Versions never decrease. While the control is unavailable the current view
 * stays active until the serving lease expires.
 */
#include <auburnstile/config.h>
#include <auburnstile/internal/entry_view.h>
#include <auburnstile/link.h>
#include <auburnstile/log.h>

#define CONNECT_TIMEOUT_MS 1000
#define SUCCESSORS_MAX 4096 /* planned stops of a fleet in several weeks */
#define RECONNECT_DELAY_US (200 * AUB_MS)

/* Views arrive every 500 ms; a link without any for this long is half-open. */
#define LINK_TIMEOUT_US (3 * AUB_SECOND)

struct aub_entry_view {
	struct aub_entry_view_options options;
	char *control;
	struct aub_link *link;
	guint reconnect_timer;
	guint lease_timer;
	guint watch_timer;
	gint64 link_opened_us; /* when the link was opened */
	struct aub_inventory *inventory;
	guint64 config_version;
	guint64 epoch;
	GHashTable *assignments; /* service -> struct aub_assignment */
	GHashTable *members; /* incarnation -> struct aub_member */
	GHashTable
		*successors; /* incarnation -> incarnation of its successor */
	GQueue successor_order; /* keys of `successors`, oldest first */
	gint64 serve_until_us;
	guint32 load_permille;
	bool stopping;
	guint64 successor;
};

static void assignment_free(void *data)
{
	aub_assignment_free(data);
}

static void member_free(void *data)
{
	aub_member_free(data);
}

static gint64 now(const struct aub_entry_view *view)
{
	return aub_timer_now(view->options.timers);
}

static void send_ack(struct aub_entry_view *view)
{
	struct aub_view_ack *ack;

	if (!view->link || !aub_link_is_up(view->link))
		return;
	ack = (struct aub_view_ack *)aub_message_new(AUB_MESSAGE_VIEW_ACK);
	ack->config_version = view->config_version;
	ack->epoch = view->epoch;
	ack->load_permille = view->load_permille;
	ack->stopping = view->stopping;
	ack->successor = view->successor;
	ack->number = (guint64)(now(view) / AUB_MS);
	aub_link_send(view->link, &ack->base);
	aub_message_free(&ack->base);
}

/* Returns false if this configuration cannot be activated. */
static bool apply_config(struct aub_entry_view *view,
			 const struct aub_view *message)
{
	struct aub_inventory *inventory = NULL;
	struct aub_config *config;
	GError *error = NULL;

	config = aub_config_parse((const char *)message->config.data,
				  message->config.length,
				  message->config_version, &error);
	if (config)
		inventory = aub_config_inventory(config, &error);
	aub_config_free(config);
	if (!inventory) {
		aub_log_warning("configuration %" G_GUINT64_FORMAT
				" rejected: %s",
				message->config_version, error->message);
		g_error_free(error);
		return false;
	}
	if (view->inventory)
		aub_inventory_unref(view->inventory);
	view->inventory = inventory;
	view->config_version = message->config_version;
	return true;
}

static void apply_assignments(struct aub_entry_view *view,
			      const struct aub_view *message)
{
	view->epoch = message->epoch;
	g_hash_table_remove_all(view->assignments);
	for (guint i = 0; i < message->assignments->len; i++) {
		struct aub_assignment *copy =
			aub_assignment_copy(message->assignments->pdata[i]);

		g_hash_table_replace(view->assignments, copy->service, copy);
	}
}

/*
 * After a planned stop another entry may start under the same name, and the
 * record of the stopped one is removed. Repeated requests would then be
 * answered "unknown" although the successor has the key. Successors are
 * therefore remembered for longer than keys are.
 */
static void remember_successor(struct aub_entry_view *view,
			       const struct aub_member *member)
{
	guint64 *key;

	if (!member->successor || !member->incarnation ||
	    g_hash_table_contains(view->successors, &member->incarnation))
		return;
	key = g_memdup2(&member->incarnation, sizeof(*key));
	g_hash_table_insert(view->successors, key,
			    g_memdup2(&member->successor,
				      sizeof(member->successor)));
	g_queue_push_tail(&view->successor_order, key);
	if (g_queue_get_length(&view->successor_order) > SUCCESSORS_MAX)
		g_hash_table_remove(view->successors,
				    g_queue_pop_head(&view->successor_order));
}

/*
 * A control that has just started knows few members. If the others were
 * forgotten, the keys they own would count as lost and their callers would get
 * "unknown". Members are therefore only forgotten by a view that grants a
 * serving lease, which requires recent contact to the store, directly or
 * through peers, or to half of the members.
 */
static void apply_members(struct aub_entry_view *view,
			  const struct aub_view *message)
{
	if (message->serve)
		g_hash_table_remove_all(view->members);
	for (guint i = 0; i < message->members->len; i++) {
		struct aub_member *copy =
			aub_member_copy(message->members->pdata[i]);

		remember_successor(view, copy);
		g_hash_table_replace(view->members, &copy->incarnation, copy);
	}
}

static void on_lease_expired(void *context, gint64 now_us)
{
	struct aub_entry_view *view = context;

	view->lease_timer = 0;
	if (aub_entry_view_serving(view))
		return;
	aub_event_record_simple(view->options.events, AUB_EVENT_VIEW, 0,
				(gint64)view->config_version, NULL, "lapsed");
	aub_log_warning("serving lease expired");
	view->options.changed(view->options.context);
}

/*
 * Returns when the lease in `message` expires. An entry that resumes after a
 * pause may read a view that waited in its buffer, and would send work into a
 * zone taken out long ago. The lease therefore counts from the acknowledgement
 * that the view echoes, by the entry's own clock.
 */
static gint64 lease_expiry_us(const struct aub_entry_view *view,
			      const struct aub_view *message)
{
	gint64 ack_us = (gint64)message->echo * AUB_MS;

	if (!message->echo || ack_us > now(view))
		return 0;
	return ack_us + message->serve_ms * AUB_MS;
}

/*
 * A control that read a stale copy could renew the lease of an entry that
 * already holds newer versions, and requests would go to a zone that was taken
 * out. A lease is only accepted with exactly the versions that are active here.
 */
static void apply_lease(struct aub_entry_view *view,
			const struct aub_view *message)
{
	aub_timer_cancel(view->options.timers, view->lease_timer);
	view->lease_timer = 0;
	if (!message->serve) {
		view->serve_until_us = 0;
		return;
	}
	if (message->config_version == view->config_version &&
	    message->epoch == view->epoch)
		view->serve_until_us = MAX(view->serve_until_us,
					   lease_expiry_us(view, message));
	if (!view->serve_until_us)
		return;
	view->lease_timer =
		aub_timer_at(view->options.timers, "permission",
			     view->serve_until_us + 1, on_lease_expired, view);
}

void aub_entry_view_apply(struct aub_entry_view *view,
			  const struct aub_view *message)
{
	guint64 config_version = view->config_version;
	guint64 epoch = view->epoch;

	if (message->config_version > view->config_version &&
	    message->config.length)
		apply_config(view, message);
	if (message->epoch >= view->epoch)
		apply_assignments(view, message);
	apply_members(view, message);
	apply_lease(view, message);
	if (view->config_version != config_version)
		aub_event_record_simple(view->options.events, AUB_EVENT_VIEW, 0,
					(gint64)view->config_version, NULL,
					"in force");
	if (view->epoch != epoch)
		aub_event_record_simple(view->options.events,
					AUB_EVENT_ASSIGNMENT, 0,
					(gint64)view->epoch, NULL, NULL);
	view->options.changed(view->options.context);
	send_ack(view);
}

static void on_message(struct aub_link *link, struct aub_message *message,
		       void *context)
{
	struct aub_entry_view *view = context;

	if (message->type == AUB_MESSAGE_VIEW)
		aub_entry_view_apply(view, (struct aub_view *)message);
	aub_message_free(message);
}

static void on_up(struct aub_link *link, const struct aub_hello *hello,
		  void *context)
{
	struct aub_entry_view *view = context;

	aub_log_message("connected to control %s", hello->name);
	send_ack(view);
}

static void connect_control(struct aub_entry_view *view);

static void on_reconnect(void *context, gint64 now_us)
{
	struct aub_entry_view *view = context;

	view->reconnect_timer = 0;
	connect_control(view);
}

static void drop_link(struct aub_entry_view *view, const char *reason)
{
	aub_log_info("control: %s", reason);
	aub_link_free(view->link);
	view->link = NULL;
	view->reconnect_timer = aub_timer_at(view->options.timers, "reconnect",
					     now(view) + RECONNECT_DELAY_US,
					     on_reconnect, view);
}

static void on_down(struct aub_link *link, const GError *error, void *context)
{
	drop_link(context, error ? error->message : "closed");
}

/*
 * A middlebox may lose track of the connection, so that no view arrives over it
 * any more. The entry would stop serving although its control is healthy, while
 * a new connection would work.
 */
static void check_link(void *context, gint64 now_us)
{
	struct aub_entry_view *view = context;

	if (view->link && now_us - MAX(view->link_opened_us,
				       aub_link_last_received_us(view->link)) >
				  LINK_TIMEOUT_US)
		drop_link(view, "silent");
}

static const struct aub_link_callbacks link_callbacks = {
	.up = on_up,
	.message = on_message,
	.down = on_down,
};

static void connect_control(struct aub_entry_view *view)
{
	view->link_opened_us = now(view);
	view->link =
		aub_link_connect(view->control, view->options.hello,
				 CONNECT_TIMEOUT_MS, &link_callbacks, view);
}

struct aub_entry_view *aub_entry_view_new(
	const struct aub_entry_view_options *options)
{
	struct aub_entry_view *view = g_new0(struct aub_entry_view, 1);

	view->options = *options;
	view->control = g_strdup(options->control);
	view->assignments = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  assignment_free);
	view->members = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      member_free);
	view->successors = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	g_queue_init(&view->successor_order);
	view->watch_timer = aub_timer_every(options->timers, "control",
					    AUB_SECOND, check_link, view);
	if (view->control)
		connect_control(view);
	return view;
}

void aub_entry_view_free(struct aub_entry_view *view)
{
	if (!view)
		return;
	aub_timer_cancel(view->options.timers, view->watch_timer);
	aub_timer_cancel(view->options.timers, view->reconnect_timer);
	aub_timer_cancel(view->options.timers, view->lease_timer);
	aub_link_free(view->link);
	g_hash_table_unref(view->assignments);
	g_hash_table_unref(view->members);
	g_queue_clear(&view->successor_order);
	g_hash_table_unref(view->successors);
	if (view->inventory)
		aub_inventory_unref(view->inventory);
	g_free(view->control);
	g_free(view);
}

bool aub_entry_view_serving(const struct aub_entry_view *view)
{
	return view->inventory && now(view) < view->serve_until_us;
}

struct aub_inventory *aub_entry_view_inventory(
	const struct aub_entry_view *view)
{
	return view->inventory;
}

const struct aub_assignment *aub_entry_view_assignment(
	const struct aub_entry_view *view, const char *service)
{
	return g_hash_table_lookup(view->assignments, service);
}

const struct aub_member *aub_entry_view_member(
	const struct aub_entry_view *view, guint64 incarnation)
{
	return g_hash_table_lookup(view->members, &incarnation);
}

guint64 aub_entry_view_successor(const struct aub_entry_view *view,
				 guint64 incarnation)
{
	const guint64 *successor =
		g_hash_table_lookup(view->successors, &incarnation);

	return successor ? *successor : 0;
}

void aub_entry_view_assignments(const struct aub_entry_view *view,
				aub_assignment_visitor *visit, void *context)
{
	GHashTableIter iterator;
	void *value;

	g_hash_table_iter_init(&iterator, view->assignments);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		visit(value, context);
}

void aub_entry_view_members(const struct aub_entry_view *view,
			    aub_member_visitor *visit, void *context)
{
	GHashTableIter iterator;
	void *value;

	g_hash_table_iter_init(&iterator, view->members);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		visit(value, context);
}

guint64 aub_entry_view_config_version(const struct aub_entry_view *view)
{
	return view->config_version;
}

guint64 aub_entry_view_epoch(const struct aub_entry_view *view)
{
	return view->epoch;
}

void aub_entry_view_set_stopping(struct aub_entry_view *view)
{
	view->stopping = true;
	send_ack(view);
}

void aub_entry_view_set_successor(struct aub_entry_view *view,
				  guint64 successor)
{
	view->successor = successor;
	send_ack(view);
}

void aub_entry_view_set_load(struct aub_entry_view *view, guint32 permille)
{
	view->load_permille = permille;
}

bool aub_entry_view_flushed(const struct aub_entry_view *view)
{
	return !view->link || !aub_link_queued_bytes(view->link);
}
