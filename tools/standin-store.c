/*
 * Stand-in for the platform's object API, in memory, for tests and the
 * demonstration. The protocol is the one in auburnstile/store_client.h.
 *
 * Versions increase over the whole store. `POST /fault` makes it slow,
 * unavailable, stale on reads, or lose the responses of writes that took
 * effect; `GET /calls` returns the number of calls by kind, where a waiting
 * watch counts as one. Faults do not affect these two.
 */
#include "common/tool.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#define VALUE_BYTES_MAX 1048576
#define WATCH_WAIT_MAX_MS 60000
#define REVISIONS_PER_OBJECT_MAX 64

static const char objects_path[] = "/v1/objects";

struct revision {
	guint64 version;
	char *value;
	gsize length;
};

struct object {
	char *key;
	GPtrArray *revisions; /* of struct revision, oldest first */
};

enum call_kind { CALL_GET, CALL_LIST, CALL_PUT, CALL_WATCH, CALL_KIND_COUNT };

static const char *const call_names[CALL_KIND_COUNT] = {
	[CALL_GET] = "get",
	[CALL_LIST] = "list",
	[CALL_PUT] = "put",
	[CALL_WATCH] = "watch",
};

enum outage { OUTAGE_NONE, OUTAGE_REFUSE, OUTAGE_HANG };

/*
 * Counters are decremented by each call that they affect; -1 means all calls.
 */
struct fault {
	guint delay_ms;
	guint jitter_ms; /* random delay added to it, less than this */
	enum outage outage;
	/* Reads return the revision before the last so many writes. */
	guint stale_writes;
	gint64 lose_answers; /* writes that take effect without a response */
	gint64 reset; /* calls whose connection is reset */
};

struct store {
	SoupServer *server;
	GHashTable *objects; /* key -> struct object */
	guint64 version;
	GPtrArray *watches; /* of struct watch, owned */
	GPtrArray *unanswered; /* of SoupServerMessage, owned references */
	struct fault fault;
	guint64 calls[CALL_KIND_COUNT];
	GRand *random;
};

struct watch {
	struct store *store;
	SoupServerMessage *message; /* owned reference */
	char *prefix;
	guint64 since; /* changes after this version are awaited */
	guint timer;
};

/* A call whose processing is delayed. */
struct delayed_call {
	struct store *store;
	SoupServerMessage *message; /* owned reference */
};

static void revision_free(void *data)
{
	struct revision *revision = data;

	g_free(revision->value);
	g_free(revision);
}

static void object_free(void *data)
{
	struct object *object = data;

	g_ptr_array_unref(object->revisions);
	g_free(object->key);
	g_free(object);
}

/* Returns the revision `writes_ago` writes ago, or the oldest retained. */
static const struct revision *object_revision(const struct object *object,
					      guint writes_ago)
{
	guint last = object->revisions->len - 1;

	return object->revisions->pdata[last - MIN(writes_ago, last)];
}

static bool consume_count(gint64 *count)
{
	if (!*count)
		return false;
	if (*count > 0)
		--*count;
	return true;
}

static void set_version(SoupServerMessage *message, guint64 version)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version);
	soup_message_headers_replace(soup_server_message_get_response_headers(
					     message),
				     "X-Version", text);
}

static const char *query_text(SoupServerMessage *message, const char *name,
			      GHashTable **query)
{
	const char *text =
		g_uri_get_query(soup_server_message_get_uri(message));
	const char *value;

	if (!*query)
		*query = soup_form_decode(text ? text : "");
	value = g_hash_table_lookup(*query, name);
	return value ? value : "";
}

static void build_object(JsonBuilder *builder, const struct object *object,
			 const struct revision *revision)
{
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "key");
	json_builder_add_string_value(builder, object->key);
	json_builder_set_member_name(builder, "version");
	json_builder_add_int_value(builder, revision->version);
	json_builder_set_member_name(builder, "value");
	json_builder_add_string_value(builder, revision->value);
	json_builder_end_object(builder);
}

static gint compare_by_version(gconstpointer a, gconstpointer b)
{
	const struct object *const *first = a;
	const struct object *const *second = b;
	guint64 first_version = object_revision(*first, 0)->version;
	guint64 second_version = object_revision(*second, 0)->version;

	return (first_version > second_version) -
	       (first_version < second_version);
}

/*
 * Adds an array of the objects whose keys start with `prefix` and whose version
 * is higher than `since`, oldest first. Returns their number.
 */
static guint build_objects(struct store *store, JsonBuilder *builder,
			   const char *prefix, guint64 since, guint writes_ago)
{
	GPtrArray *found = g_ptr_array_new();
	const struct revision *revision;
	struct object *object;
	GHashTableIter iter;
	guint count;
	guint i;

	g_hash_table_iter_init(&iter, store->objects);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&object)) {
		revision = object_revision(object, writes_ago);
		if (revision->version > since &&
		    g_str_has_prefix(object->key, prefix))
			g_ptr_array_add(found, object);
	}
	g_ptr_array_sort(found, compare_by_version);
	json_builder_begin_array(builder);
	for (i = 0; i < found->len; i++)
		build_object(builder, found->pdata[i],
			     object_revision(found->pdata[i], writes_ago));
	json_builder_end_array(builder);
	count = found->len;
	g_ptr_array_unref(found);
	return count;
}

static void answer_get(struct store *store, SoupServerMessage *message,
		       const char *key)
{
	struct object *object = g_hash_table_lookup(store->objects, key);
	const struct revision *revision;

	if (!object) {
		tool_answer_text(message, 404, "no such object\n");
		return;
	}
	revision = object_revision(object, store->fault.stale_writes);
	set_version(message, revision->version);
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/octet-stream",
					 SOUP_MEMORY_COPY, revision->value,
					 revision->length);
}

static void answer_list(struct store *store, SoupServerMessage *message)
{
	JsonBuilder *builder = json_builder_new();
	GHashTable *query = NULL;

	build_objects(store, builder, query_text(message, "prefix", &query), 0,
		      store->fault.stale_writes);
	tool_answer_json(message, 200, json_builder_get_root(builder));
	g_object_unref(builder);
	g_hash_table_unref(query);
}

static void watch_free(void *data)
{
	struct watch *watch = data;

	if (watch->timer)
		g_source_remove(watch->timer);
	g_object_unref(watch->message);
	g_free(watch->prefix);
	g_free(watch);
}

static void watch_remove(struct watch *watch)
{
	g_ptr_array_remove_fast(watch->store->watches, watch);
}

/*
 * Sets the response of a watch if there are changes, or if `due` is true.
 * Returns whether it did.
 */
static bool watch_answer(struct watch *watch, bool due)
{
	struct store *store = watch->store;
	JsonBuilder *builder = json_builder_new();
	guint changes;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "version");
	json_builder_add_int_value(builder, store->version);
	json_builder_set_member_name(builder, "changes");
	changes = build_objects(store, builder, watch->prefix, watch->since, 0);
	json_builder_end_object(builder);
	if (changes || due)
		tool_answer_json(watch->message, 200,
				 json_builder_get_root(builder));
	g_object_unref(builder);
	return changes || due;
}

static gboolean on_watch_due(gpointer data)
{
	struct watch *watch = data;

	watch->timer = 0;
	watch_answer(watch, true);
	soup_server_message_unpause(watch->message);
	watch_remove(watch);
	return G_SOURCE_REMOVE;
}

static void notify_watches(struct store *store)
{
	struct watch *watch;
	guint i;

	for (i = store->watches->len; i > 0; i--) {
		watch = store->watches->pdata[i - 1];
		if (!watch_answer(watch, false))
			continue;
		soup_server_message_unpause(watch->message);
		watch_remove(watch);
	}
}

static void start_watch(struct store *store, SoupServerMessage *message)
{
	struct watch *watch = g_new0(struct watch, 1);
	GHashTable *query = NULL;
	gint64 wait_ms;

	watch->store = store;
	watch->message = g_object_ref(message);
	watch->prefix = g_strdup(query_text(message, "prefix", &query));
	watch->since = g_ascii_strtoull(query_text(message, "since", &query),
					NULL, 10);
	wait_ms = g_ascii_strtoll(query_text(message, "wait_ms", &query), NULL,
				  10);
	g_hash_table_unref(query);
	g_ptr_array_add(store->watches, watch);
	if (watch_answer(watch, wait_ms <= 0)) {
		watch_remove(watch);
		return;
	}
	soup_server_message_pause(message);
	watch->timer = g_timeout_add(CLAMP(wait_ms, 1, WATCH_WAIT_MAX_MS),
				     on_watch_due, watch);
}

static void write_object(struct store *store, struct object *object,
			 const char *key, SoupMessageBody *body)
{
	struct revision *revision = g_new0(struct revision, 1);

	if (!object) {
		object = g_new0(struct object, 1);
		object->key = g_strdup(key);
		object->revisions =
			g_ptr_array_new_with_free_func(revision_free);
		g_hash_table_insert(store->objects, object->key, object);
	}
	revision->version = ++store->version;
	revision->value = g_strndup(body->data ? body->data : "", body->length);
	revision->length = body->length;
	g_ptr_array_add(object->revisions, revision);
	if (object->revisions->len > REVISIONS_PER_OBJECT_MAX)
		g_ptr_array_remove_index(object->revisions, 0);
}

static void answer_put(struct store *store, SoupServerMessage *message,
		       const char *key)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	struct object *object = g_hash_table_lookup(store->objects, key);
	guint64 current = object ? object_revision(object, 0)->version : 0;
	const char *match = soup_message_headers_get_one(
		soup_server_message_get_request_headers(message), "If-Match");

	if (!match || !*key) {
		tool_answer_text(message, 400, "needs a key and If-Match\n");
		return;
	}
	if (body->length > VALUE_BYTES_MAX ||
	    !g_utf8_validate(body->data ? body->data : "", body->length,
			     NULL)) {
		tool_answer_text(message,
				 body->length > VALUE_BYTES_MAX ? 413 : 400,
				 "value too large or not UTF-8\n");
		return;
	}
	if (g_ascii_strtoull(match, NULL, 10) != current) {
		set_version(message, current);
		tool_answer_text(message, 412, "version conflict\n");
		return;
	}
	write_object(store, object, key, body);
	notify_watches(store);
	if (consume_count(&store->fault.lose_answers)) {
		tool_close_connection(message, false);
		return;
	}
	set_version(message, store->version);
	tool_answer_text(message, 200, "");
}

static void answer_call(struct store *store, SoupServerMessage *message)
{
	const char *method = soup_server_message_get_method(message);
	const char *path = g_uri_get_path(soup_server_message_get_uri(message));
	bool list = !strcmp(path, objects_path);
	bool object = g_str_has_prefix(path, "/v1/objects/");
	const char *key = object ? path + strlen("/v1/objects/") : NULL;

	if (list && !strcmp(method, "GET"))
		answer_list(store, message);
	else if (object && !strcmp(method, "GET"))
		answer_get(store, message, key);
	else if (object && !strcmp(method, "PUT"))
		answer_put(store, message, key);
	else if (!strcmp(path, "/v1/watch") && !strcmp(method, "GET"))
		start_watch(store, message);
	else
		tool_answer_text(message, 404, "no such call\n");
}

static void count_call(struct store *store, SoupServerMessage *message)
{
	const char *path = g_uri_get_path(soup_server_message_get_uri(message));

	if (!strcmp(path, "/v1/watch"))
		store->calls[CALL_WATCH]++;
	else if (!strcmp(path, objects_path))
		store->calls[CALL_LIST]++;
	else if (!strcmp(soup_server_message_get_method(message), "PUT"))
		store->calls[CALL_PUT]++;
	else
		store->calls[CALL_GET]++;
}

static gboolean on_delay_elapsed(gpointer data)
{
	struct delayed_call *delayed_call = data;

	/*
	 * Unpaused before the call: a watch may pause the message again for its
	 * own wait.
	 */
	soup_server_message_unpause(delayed_call->message);
	answer_call(delayed_call->store, delayed_call->message);
	g_object_unref(delayed_call->message);
	g_free(delayed_call);
	return G_SOURCE_REMOVE;
}

static void delay_call(struct store *store, SoupServerMessage *message)
{
	struct delayed_call *delayed_call = g_new0(struct delayed_call, 1);
	guint delay_ms = store->fault.delay_ms;

	if (store->fault.jitter_ms)
		delay_ms += g_rand_int_range(store->random, 0,
					     store->fault.jitter_ms);
	delayed_call->store = store;
	delayed_call->message = g_object_ref(message);
	soup_server_message_pause(message);
	g_timeout_add(delay_ms, on_delay_elapsed, delayed_call);
}

static void on_call(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer data)
{
	struct store *store = data;

	count_call(store, message);
	if (store->fault.outage == OUTAGE_REFUSE) {
		tool_answer_text(message, 503, "down\n");
	} else if (store->fault.outage == OUTAGE_HANG) {
		soup_server_message_pause(message);
		g_ptr_array_add(store->unanswered, g_object_ref(message));
	} else if (consume_count(&store->fault.reset)) {
		tool_close_connection(message, true);
	} else if (store->fault.delay_ms || store->fault.jitter_ms) {
		delay_call(store, message);
	} else {
		answer_call(store, message);
	}
}

/* Closes the connections of unanswered calls and of waiting watches. */
static void drop_pending(struct store *store)
{
	struct watch *watch;
	guint i;

	for (i = 0; i < store->unanswered->len; i++)
		tool_close_connection(store->unanswered->pdata[i], false);
	g_ptr_array_set_size(store->unanswered, 0);
	for (i = 0; i < store->watches->len; i++) {
		watch = store->watches->pdata[i];
		tool_close_connection(watch->message, false);
	}
	g_ptr_array_set_size(store->watches, 0);
}

/* Absent members keep their values; {"clear": true} clears all faults. */
static void on_fault(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	struct store *store = data;
	struct fault *fault = &store->fault;
	JsonObject *body = tool_request_json(message);
	const char *down;

	if (!body) {
		tool_answer_text(message, 400, "expected a JSON object\n");
		return;
	}
	if (tool_json_int(body, "clear", 0))
		*fault = (struct fault){ 0 };
	fault->delay_ms = tool_json_int(body, "delay_ms", fault->delay_ms);
	fault->jitter_ms = tool_json_int(body, "jitter_ms", fault->jitter_ms);
	fault->stale_writes = tool_json_int(body, "stale", fault->stale_writes);
	fault->lose_answers =
		tool_json_int(body, "lose_answers", fault->lose_answers);
	fault->reset = tool_json_int(body, "reset", fault->reset);
	down = tool_json_string(body, "down", NULL);
	if (down)
		fault->outage = !strcmp(down, "refuse") ? OUTAGE_REFUSE :
				!strcmp(down, "hang")	? OUTAGE_HANG :
							  OUTAGE_NONE;
	if (down || tool_json_int(body, "clear", 0))
		drop_pending(store);
	json_object_unref(body);
	tool_answer_text(message, 200, "");
}

static void on_calls(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	struct store *store = data;
	JsonBuilder *builder = json_builder_new();
	guint64 total = 0;
	int i;

	json_builder_begin_object(builder);
	for (i = 0; i < CALL_KIND_COUNT; i++) {
		json_builder_set_member_name(builder, call_names[i]);
		json_builder_add_int_value(builder, store->calls[i]);
		total += store->calls[i];
	}
	json_builder_set_member_name(builder, "total");
	json_builder_add_int_value(builder, total);
	json_builder_set_member_name(builder, "version");
	json_builder_add_int_value(builder, store->version);
	json_builder_end_object(builder);
	tool_answer_json(message, 200, json_builder_get_root(builder));
	g_object_unref(builder);
}

struct options {
	const char *listen;
	guint32 seed;
};

static const struct argp_option option_table[] = {
	{ "listen", 'l', "IP:PORT", 0,
	  "address to listen on (port 0: a free one)", 0 },
	{ "seed", 's', "N", 0, "seed of the jitter of delays", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	struct options *options = state->input;

	if (key == 'l')
		options->listen = argument;
	else if (key == 's')
		options->seed = strtoul(argument, NULL, 10);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp parser = {
	.options = option_table,
	.parser = parse_option,
	.doc = "Stand-in for the platform's object API, in memory.",
};

static void store_clear(struct store *store)
{
	drop_pending(store);
	g_object_unref(store->server);
	g_ptr_array_unref(store->watches);
	g_ptr_array_unref(store->unanswered);
	g_hash_table_unref(store->objects);
	g_rand_free(store->random);
}

int main(int argc, char **argv)
{
	struct options options = { .listen = "127.0.0.1:0" };
	struct store store = { 0 };
	GError *error = NULL;
	guint16 port = 0;

	argp_parse(&parser, argc, argv, 0, NULL, &options);
	store.server = soup_server_new("server-header", "standin-store", NULL);
	store.objects = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      object_free);
	store.watches = g_ptr_array_new_with_free_func(watch_free);
	store.unanswered = g_ptr_array_new_with_free_func(g_object_unref);
	store.random = g_rand_new_with_seed(options.seed);
	soup_server_add_handler(store.server, "/v1", on_call, &store, NULL);
	soup_server_add_handler(store.server, "/fault", on_fault, &store, NULL);
	soup_server_add_handler(store.server, "/calls", on_calls, &store, NULL);
	if (!tool_listen(store.server, options.listen, &port, &error)) {
		fprintf(stderr, "standin-store: %s\n", error->message);
		g_error_free(error);
		store_clear(&store);
		return 1;
	}
	printf("listening %.*s:%u\n", (int)strcspn(options.listen, ":"),
	       options.listen, port);
	fflush(stdout);
	tool_run_until_signal(NULL);
	store_clear(&store);
	return 0;
}
