/* A simulated entry: receives views from its control and acknowledges each. */
#include "slopes/slopes.h"

#define RECONNECT_MS 200

static void slopes_connect(struct slopes_entry *entry);

static gboolean on_reconnect(void *context)
{
	struct slopes_entry *entry = context;

	entry->timer = 0;
	slopes_connect(entry);
	return G_SOURCE_REMOVE;
}

static void on_message(struct aub_link *link, struct aub_message *message,
		       void *context)
{
	struct slopes_entry *entry = context;
	struct aub_view *view = (struct aub_view *)message;
	struct aub_view_ack *ack;

	if (message->type != AUB_MESSAGE_VIEW)
		goto out;
	if (view->config.length) {
		entry->config_version = view->config_version;
		entry->config_received_us = g_get_monotonic_time();
	}
	entry->epoch = view->epoch;
	entry->serve = view->serve;
	ack = (struct aub_view_ack *)aub_message_new(AUB_MESSAGE_VIEW_ACK);
	ack->config_version = entry->config_version;
	ack->epoch = entry->epoch;
	ack->number = (guint64)(g_get_monotonic_time() / 1000);
	aub_link_send(link, &ack->base);
	aub_message_free(&ack->base);
out:
	aub_message_free(message);
}

static void on_down(struct aub_link *link, const GError *error, void *context)
{
	struct slopes_entry *entry = context;

	aub_link_free(entry->link);
	entry->link = NULL;
	entry->timer = g_timeout_add(RECONNECT_MS, on_reconnect, entry);
}

static const struct aub_link_callbacks callbacks = {
	.message = on_message,
	.down = on_down,
};

static void slopes_connect(struct slopes_entry *entry)
{
	struct aub_hello *hello;

	hello = (struct aub_hello *)aub_message_new(AUB_MESSAGE_HELLO);
	hello->role = AUB_ROLE_ENTRY;
	hello->incarnation = entry->incarnation;
	aub_string_set(&hello->name, entry->member->name);
	aub_string_set(&hello->zone, entry->member->zone);
	aub_string_set(&hello->address, entry->member->inner);
	aub_string_set(&hello->callers_address, entry->member->callers);
	aub_string_set(&hello->admin_address, entry->member->admin);
	entry->link = aub_link_connect(entry->member->control_inner, hello,
				       1000, &callbacks, entry);
	aub_message_free(&hello->base);
}

struct slopes_entry *slopes_entry_new(const struct fleet_member *member,
				      guint64 incarnation)
{
	struct slopes_entry *entry = g_new0(struct slopes_entry, 1);

	entry->member = member;
	entry->incarnation = incarnation;
	slopes_connect(entry);
	return entry;
}

void slopes_entry_free(struct slopes_entry *entry)
{
	if (!entry)
		return;
	if (entry->timer)
		g_source_remove(entry->timer);
	aub_link_free(entry->link);
	g_free(entry);
}
