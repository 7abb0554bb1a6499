/*
 * Looks up the addresses that a caller uses. Any entry that the caller knows
 * can answer. The answer is cached for as long as it is valid, or until a
 * response reports that it is stale.
 */
#include "load/load_internal.h"

#include "common/tool.h"

#define LOOKUP_TIMEOUT_US (1500 * AUB_MS) /* of one query */
/* Delay before the next entry is queried after a failure. */
#define LOOKUP_RETRY_DELAY_US (30 * AUB_MS)

void load_lookup_init(struct load_lookup *lookup, struct load_caller *caller,
		      const struct load_service *service,
		      guint first_entry_index)
{
	lookup->caller = caller;
	lookup->service = service;
	lookup->addresses = g_ptr_array_new_with_free_func(g_free);
	lookup->waiting = g_ptr_array_new();
	lookup->next_entry_index = first_entry_index;
}

void load_lookup_clear(struct load_lookup *lookup)
{
	struct aub_timer_service *timers = lookup->caller->load->timers;

	aub_timer_cancel(timers, lookup->retry_timer);
	aub_timer_cancel(timers, lookup->query_timer);
	if (lookup->cancellable)
		g_cancellable_cancel(lookup->cancellable);
	g_clear_object(&lookup->cancellable);
	g_ptr_array_unref(lookup->addresses);
	g_ptr_array_unref(lookup->waiting);
	g_free(lookup->grant);
}

struct load_lookup *load_request_lookup(const struct load_request *request)
{
	gsize index = request->service - request->load->options.services;

	return &request->caller->lookups[index];
}

void load_lookup_invalidate(struct load_lookup *lookup)
{
	lookup->valid_until_us = 0;
}

/*
 * Returns the entry to query next, in rotation: the configured ones, then those
 * of the last answer.
 */
static const char *pick_query_entry(struct load_lookup *lookup)
{
	const char *const *entries = lookup->caller->load->options.entries;
	guint configured = g_strv_length((char **)entries);
	guint position = lookup->next_entry_index++ %
			 (configured + lookup->addresses->len);

	if (position < configured)
		return entries[position];
	return lookup->addresses->pdata[position - configured];
}

static void start_query(struct load_lookup *lookup);

static void on_retry_due(void *context, gint64 now_us)
{
	struct load_lookup *lookup = context;

	lookup->retry_timer = 0;
	start_query(lookup);
}

/* Returns false if the answer contains no address. */
static bool read_addresses(struct load_lookup *lookup, JsonObject *answer)
{
	JsonArray *list = NULL;
	const char *address;
	guint i;

	if (json_object_has_member(answer, "addresses"))
		list = json_object_get_array_member(answer, "addresses");
	if (!list || !json_array_get_length(list))
		return false;
	g_ptr_array_set_size(lookup->addresses, 0);
	for (i = 0; i < json_array_get_length(list); i++) {
		address =
			tool_json_string(json_array_get_object_element(list, i),
					 "address", "");
		g_ptr_array_add(lookup->addresses, g_strdup(address));
	}
	g_free(lookup->grant);
	lookup->grant = g_strdup(tool_json_string(answer, "grant", ""));
	lookup->valid_until_us =
		g_get_monotonic_time() +
		tool_json_int(answer, "valid_ms", 1000) * AUB_MS;
	return true;
}

static void release_waiting(struct load_lookup *lookup)
{
	GPtrArray *waiting = lookup->waiting;
	guint i;

	lookup->waiting = g_ptr_array_new();
	for (i = 0; i < waiting->len; i++)
		load_request_send(waiting->pdata[i]);
	g_ptr_array_unref(waiting);
}

static bool parse_addresses(struct load_lookup *lookup, GBytes *body)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;
	bool ok = false;

	if (json_parser_load_from_data(parser, g_bytes_get_data(body, NULL),
				       g_bytes_get_size(body), NULL))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		ok = read_addresses(lookup, json_node_get_object(root));
	g_object_unref(parser);
	return ok;
}

struct lookup_query {
	/* Its `cancellable` is another one if this query was abandoned. */
	struct load_lookup *lookup;
	GCancellable *cancellable; /* owned reference */
	SoupMessage *message; /* owned reference */
};

static void on_query_done(GObject *source, GAsyncResult *result, gpointer data)
{
	struct lookup_query *query = data;
	struct load_lookup *lookup = query->lookup;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 result, NULL);
	bool current = lookup->cancellable == query->cancellable;
	bool ok = false;

	if (current) {
		aub_timer_cancel(lookup->caller->load->timers,
				 lookup->query_timer);
		lookup->query_timer = 0;
		g_clear_object(&lookup->cancellable);
		lookup->query_in_flight = false;
		ok = body && soup_message_get_status(query->message) == 200 &&
		     parse_addresses(lookup, body);
	}
	if (current && !ok)
		lookup->retry_timer =
			aub_timer_at(lookup->caller->load->timers,
				     "lookup retry",
				     g_get_monotonic_time() +
					     LOOKUP_RETRY_DELAY_US,
				     on_retry_due, lookup);
	if (ok)
		release_waiting(lookup);
	if (body)
		g_bytes_unref(body);
	g_object_unref(query->message);
	g_object_unref(query->cancellable);
	g_free(query);
}

static void on_query_timeout(void *context, gint64 now_us)
{
	struct load_lookup *lookup = context;

	lookup->query_timer = 0;
	g_cancellable_cancel(lookup->cancellable);
}

static void start_query(struct load_lookup *lookup)
{
	struct load *load = lookup->caller->load;
	struct lookup_query *query;
	char *url;

	if (lookup->query_in_flight || !lookup->waiting->len)
		return;
	url = g_strdup_printf("http://%s/.auburnstile/addresses?service=%s",
			      load_connect_address(load,
						   pick_query_entry(lookup)),
			      lookup->service->name);
	query = g_new0(struct lookup_query, 1);
	query->lookup = lookup;
	query->message = soup_message_new("GET", url);
	query->cancellable = g_cancellable_new();
	lookup->cancellable = g_object_ref(query->cancellable);
	lookup->query_in_flight = true;
	lookup->query_timer =
		aub_timer_at(load->timers, "lookup timeout",
			     g_get_monotonic_time() + LOOKUP_TIMEOUT_US,
			     on_query_timeout, lookup);
	soup_session_send_and_read_async(lookup->caller->session,
					 query->message, G_PRIORITY_DEFAULT,
					 query->cancellable, on_query_done,
					 query);
	g_free(url);
}

void load_lookup_resolve(struct load_lookup *lookup,
			 struct load_request *request)
{
	if (g_get_monotonic_time() < lookup->valid_until_us) {
		load_request_send(request);
		return;
	}
	g_ptr_array_add(lookup->waiting, request);
	if (!lookup->retry_timer)
		start_query(lookup);
}

void load_lookup_remove(struct load_lookup *lookup,
			struct load_request *request)
{
	g_ptr_array_remove_fast(lookup->waiting, request);
}
