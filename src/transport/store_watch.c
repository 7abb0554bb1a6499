/*
 * The watch: consecutive long polls, each resumed from the highest version
 * delivered.
 *
 * A response with a store version lower than one already seen is a stale read.
 * It is reported as a failed attempt, because a process that took it for a
 * confirmation would consider outdated data current.
 */
#include <auburnstile/internal/store_client.h>

#include <auburnstile/error.h>

struct store_watch {
	struct aub_store_client *client; /* not owned */
	char *prefix;
	guint64 since_version; /* highest version delivered */
	guint64 store_version; /* highest store version received */
	guint failures;
	struct store_exchange *exchange;
	GSource *timer;
	aub_store_watch_callback *callback;
	void *context;
};

static void start_poll(struct store_watch *watch);

static gboolean on_retry_timer(gpointer data)
{
	struct store_watch *watch = data;

	store_timer_clear(&watch->timer);
	start_poll(watch);
	return G_SOURCE_REMOVE;
}

/*
 * Schedules the next poll with backoff and reports the failure. Takes
 * ownership of `error`. The callback may stop the watch.
 */
static void handle_poll_failure(struct store_watch *watch, GError *error)
{
	struct aub_store_client *client = watch->client;
	guint delay_ms = store_backoff_ms(client, watch->failures++);

	watch->timer = store_timer(client, delay_ms, on_retry_timer, watch);
	watch->callback(NULL, watch->since_version, error, watch->context);
	g_error_free(error);
}

static gint by_version(gconstpointer a, gconstpointer b)
{
	guint64 left = ((const struct aub_store_object *)a)->version;
	guint64 right = ((const struct aub_store_object *)b)->version;

	return (left > right) - (left < right);
}

/*
 * Parses the response of a poll. Returns false if it is malformed. The objects
 * point into `root`.
 */
static bool parse_changes(JsonNode *root, guint64 *version, GArray *changes)
{
	struct aub_store_object object;
	JsonObject *fields;
	JsonArray *array;
	guint i;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return false;
	fields = json_node_get_object(root);
	if (!json_object_has_member(fields, "version") ||
	    !json_object_has_member(fields, "changes") ||
	    !JSON_NODE_HOLDS_ARRAY(json_object_get_member(fields, "changes")))
		return false;
	*version =
		json_object_get_int_member_with_default(fields, "version", 0);
	array = json_object_get_array_member(fields, "changes");
	for (i = 0; i < json_array_get_length(array); i++) {
		if (!store_object_parse(json_array_get_element(array, i),
					&object))
			return false;
		g_array_append_val(changes, object);
	}
	g_array_sort(changes, by_version);
	return true;
}

/*
 * Reports the changes. Returns false if a callback stopped the watch, in which
 * case `watch` has been freed.
 */
static bool deliver_changes(struct store_watch *watch, const GArray *changes)
{
	struct aub_store_client *client = watch->client;
	const struct aub_store_object *object;
	guint64 since_version = watch->since_version;
	guint i;

	for (i = 0; i < changes->len; i++) {
		object = &g_array_index(changes, struct aub_store_object, i);
		if (object->version <= since_version ||
		    !store_record_version(client, object->key, object->version))
			continue;
		watch->since_version = object->version;
		watch->callback(object, object->version, NULL, watch->context);
		if (client->watch != watch)
			return false;
	}
	if (watch->since_version == since_version)
		watch->callback(NULL, watch->store_version, NULL,
				watch->context);
	return client->watch == watch;
}

static void handle_poll_response(struct store_watch *watch, GBytes *body)
{
	GArray *changes =
		g_array_new(FALSE, FALSE, sizeof(struct aub_store_object));
	JsonParser *parser = json_parser_new();
	const char *peer = watch->client->url;
	guint64 version = 0;
	GError *error = NULL;

	json_parser_load_from_data(parser, g_bytes_get_data(body, NULL),
				   g_bytes_get_size(body), NULL);
	if (!parse_changes(json_parser_get_root(parser), &version, changes))
		aub_error_set(&error, AUB_ERROR_INVALID, "watch store", peer,
			      "malformed response");
	else if (version < watch->store_version)
		aub_error_set(&error, AUB_ERROR_UNAVAILABLE, "watch store",
			      peer, "stale read");
	if (error) {
		handle_poll_failure(watch, error);
	} else {
		watch->failures = 0;
		watch->store_version = version;
		if (deliver_changes(watch, changes))
			start_poll(watch);
	}
	g_object_unref(parser);
	g_array_unref(changes);
}

static void on_poll_done(const struct store_result *result, void *context)
{
	struct store_watch *watch = context;
	GError *error = NULL;

	watch->exchange = NULL;
	if (!result->error && result->status == 200) {
		handle_poll_response(watch, result->body);
		return;
	}
	if (result->error)
		error = g_error_copy(result->error);
	else
		store_error_from_status(&error, "watch store", watch->client,
					result->status);
	handle_poll_failure(watch, error);
}

static void start_poll(struct store_watch *watch)
{
	struct aub_store_client *client = watch->client;
	char *prefix = g_uri_escape_string(watch->prefix, "/", FALSE);
	char *path =
		g_strdup_printf("/v1/watch?prefix=%s&since=%" G_GUINT64_FORMAT
				"&wait_ms=%u",
				prefix, watch->since_version,
				client->options.watch_wait_ms);
	struct store_request request = {
		.method = "GET",
		.path = path,
		.timeout_ms = client->options.watch_wait_ms +
			      client->options.timeout_ms,
		.new_connection = watch->failures > 0,
	};

	watch->exchange =
		store_exchange_start(client, &request, on_poll_done, watch);
	g_free(path);
	g_free(prefix);
}

void aub_store_watch_start(struct aub_store_client *client, const char *prefix,
			   guint64 since_version,
			   aub_store_watch_callback *callback, void *context)
{
	struct store_watch *watch;

	aub_store_watch_stop(client);
	watch = g_new0(struct store_watch, 1);
	watch->client = client;
	watch->prefix = g_strdup(prefix);
	watch->since_version = since_version;
	watch->store_version = since_version;
	watch->callback = callback;
	watch->context = context;
	client->watch = watch;
	start_poll(watch);
}

void aub_store_watch_stop(struct aub_store_client *client)
{
	struct store_watch *watch = client->watch;

	if (!watch)
		return;
	client->watch = NULL;
	store_exchange_cancel(watch->exchange);
	store_timer_clear(&watch->timer);
	g_free(watch->prefix);
	g_free(watch);
}
