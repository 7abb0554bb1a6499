/*
 * Which addresses a caller uses: asked of any entry it knows of, kept for the
 * time the answer names, asked anew when told that they are stale.
 */
#include "load/load_internal.h"

#include "common/tool.h"

#define ASK_TIMEOUT_US (1500 * AUB_MS)
#define ASK_AGAIN_US (30 * AUB_MS) /* between entries that don't answer */

void load_lookup_init(struct load_lookup *lookup, struct load_caller *caller,
		      const struct load_service *service, guint first)
{
	lookup->caller = caller;
	lookup->service = service;
	lookup->addresses = g_ptr_array_new_with_free_func(g_free);
	lookup->waiting = g_ptr_array_new();
	lookup->asked = first;
}

void load_lookup_clear(struct load_lookup *lookup)
{
	struct aub_timer_service *timers = lookup->caller->load->timers;

	aub_timer_cancel(timers, lookup->timer);
	aub_timer_cancel(timers, lookup->ask_timer);
	if (lookup->cancellable)
		g_cancellable_cancel(lookup->cancellable);
	g_clear_object(&lookup->cancellable);
	g_ptr_array_unref(lookup->addresses);
	g_ptr_array_unref(lookup->waiting);
	g_free(lookup->grant);
}

struct load_lookup *load_lookup_of(const struct load_request *request)
{
	gsize index = request->service - request->load->options.services;

	return &request->caller->lookups[index];
}

void load_lookup_stale(struct load_lookup *lookup)
{
	lookup->valid_until_us = 0;
}

/* An entry to ask: those of the settings and those last told, in turn. */
static const char *next_entry(struct load_lookup *lookup)
{
	const char *const *entries = lookup->caller->load->options.entries;
	guint known = g_strv_length((char **)entries);
	guint turn = lookup->asked++ % (known + lookup->addresses->len);

	if (turn < known)
		return entries[turn];
	return lookup->addresses->pdata[turn - known];
}

static void start_asking(struct load_lookup *lookup);

static void on_ask_again(void *context, gint64 now_us)
{
	struct load_lookup *lookup = context;

	lookup->timer = 0;
	start_asking(lookup);
}

/* False where the answer names no address. */
static bool read_answer(struct load_lookup *lookup, JsonObject *answer)
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

static bool parse_answer(struct load_lookup *lookup, GBytes *body)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;
	bool ok = false;

	if (json_parser_load_from_data(parser, g_bytes_get_data(body, NULL),
				       g_bytes_get_size(body), NULL))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		ok = read_answer(lookup, json_node_get_object(root));
	g_object_unref(parser);
	return ok;
}

struct ask {
	struct load_lookup *lookup; /* NULL-safe through the cancellable */
	GCancellable *cancellable; /* owned reference */
	SoupMessage *message; /* owned reference */
};

static void on_answered(GObject *source, GAsyncResult *result, gpointer data)
{
	struct ask *ask = data;
	struct load_lookup *lookup = ask->lookup;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 result, NULL);
	bool current = lookup->cancellable == ask->cancellable;
	bool ok = false;

	if (current) {
		aub_timer_cancel(lookup->caller->load->timers,
				 lookup->ask_timer);
		lookup->ask_timer = 0;
		g_clear_object(&lookup->cancellable);
		lookup->asking = false;
		ok = body && soup_message_get_status(ask->message) == 200 &&
		     parse_answer(lookup, body);
	}
	if (current && !ok)
		lookup->timer =
			aub_timer_at(lookup->caller->load->timers, "ask again",
				     g_get_monotonic_time() + ASK_AGAIN_US,
				     on_ask_again, lookup);
	if (ok)
		release_waiting(lookup);
	if (body)
		g_bytes_unref(body);
	g_object_unref(ask->message);
	g_object_unref(ask->cancellable);
	g_free(ask);
}

static void on_ask_timeout(void *context, gint64 now_us)
{
	struct load_lookup *lookup = context;

	lookup->ask_timer = 0;
	g_cancellable_cancel(lookup->cancellable);
}

static void start_asking(struct load_lookup *lookup)
{
	struct load *load = lookup->caller->load;
	struct ask *ask;
	char *url;

	if (lookup->asking || !lookup->waiting->len)
		return;
	url = g_strdup_printf("http://%s/.auburnstile/addresses?service=%s",
			      load_via(load, next_entry(lookup)),
			      lookup->service->name);
	ask = g_new0(struct ask, 1);
	ask->lookup = lookup;
	ask->message = soup_message_new("GET", url);
	ask->cancellable = g_cancellable_new();
	lookup->cancellable = g_object_ref(ask->cancellable);
	lookup->asking = true;
	lookup->ask_timer =
		aub_timer_at(load->timers, "ask timeout",
			     g_get_monotonic_time() + ASK_TIMEOUT_US,
			     on_ask_timeout, lookup);
	soup_session_send_and_read_async(lookup->caller->session, ask->message,
					 G_PRIORITY_DEFAULT, ask->cancellable,
					 on_answered, ask);
	g_free(url);
}

void load_lookup_wait(struct load_lookup *lookup, struct load_request *request)
{
	if (g_get_monotonic_time() < lookup->valid_until_us) {
		load_request_send(request);
		return;
	}
	g_ptr_array_add(lookup->waiting, request);
	if (!lookup->timer)
		start_asking(lookup);
}

void load_lookup_forget(struct load_lookup *lookup,
			struct load_request *request)
{
	g_ptr_array_remove_fast(lookup->waiting, request);
}
