/*
 * Operations on the store: get, list and conditional put, each retried with
 * backoff until four times the timeout of one attempt has passed.
 *
 * If the response to a put is lost, its result is determined by reading the
 * object back. If an attempt may have taken effect, the put is never reported
 * as refused or conflicting, only as successful or ambiguous.
 */
#include <auburnstile/internal/store_client.h>

#include <auburnstile/error.h>
#include <string.h>

/* Time limit of an operation, in timeouts of one attempt. */
#define OPERATION_TIMEOUT_ATTEMPTS 4

enum operation_kind { OPERATION_GET, OPERATION_LIST, OPERATION_PUT };

struct operation {
	struct aub_store_client *client; /* not owned */
	enum operation_kind kind;
	char *key; /* or the prefix */
	GBytes *value; /* PUT */
	guint64 expected_version; /* PUT */
	char *change_marker; /* PUT */
	guint64 min_version; /* PUT: reads below this version are stale */
	bool may_have_applied; /* PUT: an earlier attempt may have succeeded */
	bool reading_back; /* PUT: the current or next exchange is a read */
	gint64 deadline_us;
	guint failures;
	GError *error; /* of the last failed attempt */
	struct store_exchange *exchange;
	GSource *timer;
	union {
		aub_store_get_callback *get;
		aub_store_list_callback *list;
		aub_store_put_callback *put;
	} callback;
	void *context;
};

void store_operation_free(void *data)
{
	struct operation *operation = data;

	store_exchange_cancel(operation->exchange);
	store_timer_clear(&operation->timer);
	if (operation->value)
		g_bytes_unref(operation->value);
	g_clear_error(&operation->error);
	g_free(operation->key);
	g_free(operation->change_marker);
	g_free(operation);
}

/* Reports the result and frees the operation. `error` is NULL on success. */
static void finish(struct operation *operation,
		   const struct aub_store_object *objects, guint count,
		   guint64 version, const GError *error)
{
	struct aub_store_client *client = operation->client;
	guint index;

	if (g_ptr_array_find(client->operations, operation, &index))
		g_ptr_array_steal_index_fast(client->operations, index);
	switch (operation->kind) {
	case OPERATION_GET:
		operation->callback.get(objects, error, operation->context);
		break;
	case OPERATION_LIST:
		operation->callback.list(objects, count, error,
					 operation->context);
		break;
	case OPERATION_PUT:
		operation->callback.put(version, error, operation->context);
		break;
	}
	store_operation_free(operation);
}

static void finish_with_code(struct operation *operation,
			     enum aub_error_code code, guint64 version,
			     const char *text)
{
	GError *error = NULL;

	aub_error_set(&error, code, "put object", operation->client->url,
		      "%s: %s", operation->key, text);
	finish(operation, NULL, 0, version, error);
	g_error_free(error);
}

static void start_attempt(struct operation *operation);

static gboolean on_retry_timer(gpointer data)
{
	struct operation *operation = data;

	store_timer_clear(&operation->timer);
	start_attempt(operation);
	return G_SOURCE_REMOVE;
}

/*
 * Schedules another attempt, or ends the operation if the deadline would have
 * passed. Takes ownership of `error`.
 */
static void retry_after_backoff(struct operation *operation, GError *error)
{
	guint delay_ms =
		store_backoff_ms(operation->client, operation->failures++);
	gint64 at_us = g_get_monotonic_time() + delay_ms * (gint64)1000;

	g_clear_error(&operation->error);
	operation->error = error;
	if (at_us < operation->deadline_us) {
		operation->timer = store_timer(operation->client, delay_ms,
					       on_retry_timer, operation);
		return;
	}
	if (operation->may_have_applied) {
		finish_with_code(operation, AUB_ERROR_AMBIGUOUS, 0,
				 error->message);
		return;
	}
	finish(operation, NULL, 0, 0, error);
}

static void retry_stale(struct operation *operation)
{
	GError *error = NULL;

	aub_error_set(&error, AUB_ERROR_UNAVAILABLE, "read object",
		      operation->client->url, "%s: stale read", operation->key);
	retry_after_backoff(operation, error);
}

/*
 * Returns true if the attempt failed, in which case the operation has been
 * retried or ended.
 */
static bool handle_failed_attempt(struct operation *operation,
				  const struct store_result *result)
{
	GError *error = NULL;

	if (!result->error && result->status < 500)
		return false;
	if (result->error)
		error = g_error_copy(result->error);
	else
		store_error_from_status(&error, "call store", operation->client,
					result->status);
	retry_after_backoff(operation, error);
	return true;
}

static void finish_with_status(struct operation *operation,
			       const struct store_result *result)
{
	GError *error = NULL;

	store_error_from_status(&error, "call store", operation->client,
				result->status);
	finish(operation, NULL, 0, 0, error);
	g_error_free(error);
}

static struct aub_store_object body_object(const struct operation *operation,
					   const struct store_result *result)
{
	struct aub_store_object object = { .key = operation->key,
					   .version = result->version };

	object.value = g_bytes_get_data(result->body, &object.length);
	if (!object.value)
		object.value = "";
	return object;
}

static void handle_get_result(struct operation *operation,
			      const struct store_result *result)
{
	struct aub_store_object object;
	bool known = g_hash_table_contains(operation->client->known_versions,
					   operation->key);

	bool stale = false;

	if (handle_failed_attempt(operation, result))
		return;
	if (result->status == 404)
		stale = known;
	else if (result->status == 200)
		stale = !store_record_version(operation->client, operation->key,
					      result->version);
	if (stale) {
		retry_stale(operation);
	} else if (result->status != 200) {
		finish_with_status(operation, result);
	} else {
		object = body_object(operation, result);
		finish(operation, &object, 1, object.version, NULL);
	}
}

/*
 * Parses the objects in the body of a list. Returns false if it is malformed.
 * The objects point into `root`.
 */
static bool parse_objects(JsonNode *root, GArray *objects)
{
	struct aub_store_object object;
	JsonArray *array;
	guint i;

	if (!root || !JSON_NODE_HOLDS_ARRAY(root))
		return false;
	array = json_node_get_array(root);
	for (i = 0; i < json_array_get_length(array); i++) {
		if (!store_object_parse(json_array_get_element(array, i),
					&object))
			return false;
		g_array_append_val(objects, object);
	}
	return true;
}

static bool record_versions(struct aub_store_client *client,
			    const GArray *objects)
{
	const struct aub_store_object *object;
	bool fresh = true;
	guint i;

	for (i = 0; i < objects->len; i++) {
		object = &g_array_index(objects, struct aub_store_object, i);
		fresh = store_record_version(client, object->key,
					     object->version) &&
			fresh;
	}
	return fresh;
}

static void handle_list_result(struct operation *operation,
			       const struct store_result *result)
{
	GArray *objects;
	JsonParser *parser;
	GError *error = NULL;

	if (handle_failed_attempt(operation, result))
		return;
	if (result->status != 200) {
		finish_with_status(operation, result);
		return;
	}
	objects = g_array_new(FALSE, FALSE, sizeof(struct aub_store_object));
	parser = json_parser_new();
	json_parser_load_from_data(parser, g_bytes_get_data(result->body, NULL),
				   g_bytes_get_size(result->body), NULL);
	if (!parse_objects(json_parser_get_root(parser), objects)) {
		aub_error_set(&error, AUB_ERROR_INVALID, "list objects",
			      operation->client->url, "malformed response");
		retry_after_backoff(operation, error);
	} else if (!record_versions(operation->client, objects)) {
		retry_stale(operation);
	} else {
		finish(operation, (struct aub_store_object *)objects->data,
		       objects->len, 0, NULL);
	}
	g_object_unref(parser);
	g_array_unref(objects);
}

/*
 * Handles the read-back after the response to a write was lost. If the write
 * were simply repeated, it could conflict with its own first attempt. If the
 * object contains the change marker, the write succeeded. If it has the
 * expected version, the write is repeated. Otherwise another writer may have
 * overwritten the change, and the result is ambiguous.
 */
static void handle_read_back_result(struct operation *operation,
				    const struct store_result *result)
{
	struct aub_store_object object = { .value = "" };
	bool has_marker;

	if (handle_failed_attempt(operation, result))
		return;
	if (result->status != 200 && result->status != 404) {
		finish_with_status(operation, result);
		return;
	}
	if (result->status == 200)
		object = body_object(operation, result);
	has_marker =
		operation->change_marker &&
		memmem(object.value, object.length, operation->change_marker,
		       strlen(operation->change_marker));
	if (object.version <
	    MAX(operation->min_version, operation->expected_version)) {
		retry_stale(operation);
	} else if (has_marker) {
		store_record_version(operation->client, operation->key,
				     object.version);
		finish(operation, NULL, 0, object.version, NULL);
	} else if (object.version == operation->expected_version) {
		operation->reading_back = false;
		start_attempt(operation);
	} else if (operation->may_have_applied) {
		finish_with_code(operation, AUB_ERROR_AMBIGUOUS, object.version,
				 "overwritten, or never written");
	} else {
		finish_with_code(operation, AUB_ERROR_CONFLICT, object.version,
				 "changed by another writer");
	}
}

static void handle_put_result(struct operation *operation,
			      const struct store_result *result)
{
	bool failed = result->error || result->status >= 500;

	if (failed && !result->connection_refused)
		operation->may_have_applied = true;
	operation->reading_back = operation->may_have_applied;
	if (handle_failed_attempt(operation, result))
		return;
	if (result->status == 200) {
		store_record_version(operation->client, operation->key,
				     result->version);
		finish(operation, NULL, 0, result->version, NULL);
	} else if (result->status == 412) {
		operation->min_version = result->version;
		operation->reading_back = true;
		start_attempt(operation);
	} else if (operation->may_have_applied) {
		finish_with_code(operation, AUB_ERROR_AMBIGUOUS, 0,
				 "refused after a lost response");
	} else {
		finish_with_status(operation, result);
	}
}

static void on_attempt_done(const struct store_result *result, void *context)
{
	struct operation *operation = context;

	operation->exchange = NULL;
	if (operation->kind == OPERATION_GET)
		handle_get_result(operation, result);
	else if (operation->kind == OPERATION_LIST)
		handle_list_result(operation, result);
	else if (operation->reading_back)
		handle_read_back_result(operation, result);
	else
		handle_put_result(operation, result);
}

static char *operation_path(const struct operation *operation)
{
	bool list = operation->kind == OPERATION_LIST;
	char *escaped = g_uri_escape_string(operation->key, "/", FALSE);
	char *path = g_strconcat(list ? "/v1/objects?prefix=" : "/v1/objects/",
				 escaped, NULL);

	g_free(escaped);
	return path;
}

/*
 * Starts an attempt. A pooled connection may be unresponsive, which causes
 * timeouts. If it is closed, libsoup may resend the request, and a write would
 * conflict with itself. Writes and retries therefore always open a new
 * connection.
 */
static void start_attempt(struct operation *operation)
{
	struct aub_store_client *client = operation->client;
	bool write =
		operation->kind == OPERATION_PUT && !operation->reading_back;
	gint64 remaining_ms =
		(operation->deadline_us - g_get_monotonic_time()) / 1000;
	char *path = operation_path(operation);
	struct store_request request = {
		.method = write ? "PUT" : "GET",
		.path = path,
		.body = write ? operation->value : NULL,
		.if_match = operation->expected_version,
		.timeout_ms =
			CLAMP(remaining_ms, 1, client->options.timeout_ms),
		.new_connection = write || operation->failures > 0,
	};

	operation->exchange = store_exchange_start(client, &request,
						   on_attempt_done, operation);
	g_free(path);
}

static struct operation *operation_new(struct aub_store_client *client,
				       enum operation_kind kind,
				       const char *key, void *context)
{
	struct operation *operation = g_new0(struct operation, 1);

	operation->client = client;
	operation->kind = kind;
	operation->key = g_strdup(key);
	operation->context = context;
	operation->deadline_us = g_get_monotonic_time() +
				 (gint64)client->options.timeout_ms *
					 OPERATION_TIMEOUT_ATTEMPTS * 1000;
	g_ptr_array_add(client->operations, operation);
	return operation;
}

void aub_store_get(struct aub_store_client *client, const char *key,
		   aub_store_get_callback *callback, void *context)
{
	struct operation *operation =
		operation_new(client, OPERATION_GET, key, context);

	operation->callback.get = callback;
	start_attempt(operation);
}

void aub_store_list(struct aub_store_client *client, const char *prefix,
		    aub_store_list_callback *callback, void *context)
{
	struct operation *operation =
		operation_new(client, OPERATION_LIST, prefix, context);

	operation->callback.list = callback;
	start_attempt(operation);
}

void aub_store_put(struct aub_store_client *client, const char *key,
		   const char *value, gsize length, guint64 expected_version,
		   const char *change_marker, aub_store_put_callback *callback,
		   void *context)
{
	struct operation *operation =
		operation_new(client, OPERATION_PUT, key, context);

	operation->value = g_bytes_new(value, length);
	operation->expected_version = expected_version;
	operation->change_marker = change_marker && *change_marker ?
					   g_strdup(change_marker) :
					   NULL;
	operation->callback.put = callback;
	start_attempt(operation);
}
