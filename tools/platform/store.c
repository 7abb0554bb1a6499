/*
 * The stand-in store: one listener, a table of objects and a list of changes.
 */
#include "platform/store.h"

#include "platform/body.h"

#include <auburnstile/internal/http_listener.h>
#include <auburnstile/internal/tcp.h>

#include <arpa/inet.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_BYTES_MAX (64u << 10)

struct object {
	char *kind;
	char *name;
	char *spec;
	char *status;
	char *finalizers; /* a JSON array */
	gint64 revision;
	gint64 created;
	bool deleting;
};

struct change {
	gint64 revision;
	char *kind;
	char *text; /* the event as JSON */
};

struct platform_store {
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	int listener;
	struct aub_poll_watch *watch; /* of the listener */
	char *address;
	GPtrArray *objects; /* of struct object, sorted by name */
	GPtrArray *changes; /* of struct change, oldest first */
	GPtrArray *connections; /* of struct connection; they free themselves */
	gint64 revision;
	/* Earlier changes have been dropped: watches from before it get 410. */
	gint64 compacted_revision;
	GPtrArray *cached_objects; /* what cached listings show; NULL: all */
	gint64 cached_revision;
	bool first_page_is_fresh; /* even of a cached listing */
	enum platform_store_fault fault;
	guint delay_ms;
	guint page_size;
	bool watch_events_suppressed;
	guint64 calls;
};

struct connection {
	struct platform_store *store;
	struct aub_http_stream *stream;
	guint method;
	char *target;
	GString *body;
	GString *answer; /* the response while it is delayed */
	guint timer;
	bool watching;
	char *watch_kind;
	gint64 watch_revision;
	bool unanswered; /* its call is never answered */
};

static void object_free(void *data)
{
	struct object *object = data;

	g_free(object->kind);
	g_free(object->name);
	g_free(object->spec);
	g_free(object->status);
	g_free(object->finalizers);
	g_free(object);
}

static void change_free(void *data)
{
	struct change *change = data;

	g_free(change->kind);
	g_free(change->text);
	g_free(change);
}

static void connection_free(struct connection *connection)
{
	g_ptr_array_remove_fast(connection->store->connections, connection);
	aub_timer_cancel(connection->store->timers, connection->timer);
	aub_http_stream_free(connection->stream);
	g_string_free(connection->body, TRUE);
	g_free(connection->target);
	if (connection->answer)
		g_string_free(connection->answer, TRUE);
	g_free(connection->watch_kind);
	g_free(connection);
}

/* Returns `text` as a JSON string, freed with g_free(). */
static char *json_quoted(const char *text)
{
	JsonNode *node = json_node_init_string(json_node_alloc(), text);
	char *quoted = json_to_string(node, FALSE);

	json_node_unref(node);
	return quoted;
}

static char *object_text(const struct object *object)
{
	char *name = json_quoted(object->name);
	char *text = g_strdup_printf(
		"{\"metadata\":{\"name\":%s,\"revision\":%" G_GINT64_FORMAT
		",\"created\":%" G_GINT64_FORMAT
		",\"finalizers\":%s,\"deleting\":%s},\"spec\":%s,\"status\":%s}",
		name, object->revision, object->created, object->finalizers,
		object->deleting ? "true" : "false", object->spec,
		object->status);

	g_free(name);
	return text;
}

static struct object *object_find(const struct platform_store *store,
				  const char *kind, const char *name)
{
	for (guint i = 0; i < store->objects->len; i++) {
		struct object *object = g_ptr_array_index(store->objects, i);

		if (!strcmp(object->kind, kind) && !strcmp(object->name, name))
			return object;
	}
	return NULL;
}

static gint compare_by_name(gconstpointer a, gconstpointer b)
{
	return strcmp((*(struct object *const *)a)->name,
		      (*(struct object *const *)b)->name);
}

static void answer_watches(struct platform_store *store);

static void record_change(struct platform_store *store, struct object *object,
			  bool removed)
{
	struct change *change = g_new0(struct change, 1);
	char *text = object_text(object);

	change->revision = store->revision;
	change->kind = g_strdup(object->kind);
	change->text = g_strdup_printf("{\"removed\":%s,\"object\":%s}",
				       removed ? "true" : "false", text);
	g_free(text);
	g_ptr_array_add(store->changes, change);
}

static struct object *object_new(struct platform_store *store, const char *kind,
				 const char *name)
{
	struct object *object = g_new0(struct object, 1);

	object->kind = g_strdup(kind);
	object->name = g_strdup(name);
	object->status = g_strdup("null");
	object->finalizers = g_strdup("[]");
	object->created = store->revision + 1;
	g_ptr_array_add(store->objects, object);
	g_ptr_array_sort(store->objects, compare_by_name);
	return object;
}

gint64 platform_store_put(struct platform_store *store, const char *kind,
			  const char *name, const char *spec)
{
	struct object *object = object_find(store, kind, name);

	if (!object)
		object = object_new(store, kind, name);
	else if (!strcmp(object->spec, spec))
		return store->revision;
	g_free(object->spec);
	object->spec = g_strdup(spec);
	object->revision = ++store->revision;
	record_change(store, object, false);
	answer_watches(store);
	return store->revision;
}

gint64 platform_store_put_status(struct platform_store *store, const char *kind,
				 const char *name, const char *status)
{
	struct object *object = object_find(store, kind, name);

	if (!object || !strcmp(object->status, status))
		return store->revision;
	g_free(object->status);
	object->status = g_strdup(status);
	object->revision = ++store->revision;
	record_change(store, object, false);
	answer_watches(store);
	return store->revision;
}

const char *platform_store_status(struct platform_store *store,
				  const char *kind, const char *name)
{
	struct object *object = object_find(store, kind, name);

	return object ? object->status : NULL;
}

void platform_store_remove(struct platform_store *store, const char *kind,
			   const char *name)
{
	struct object *object = object_find(store, kind, name);

	if (!object)
		return;
	store->revision++;
	if (strcmp(object->finalizers, "[]") != 0) {
		object->deleting = true;
		object->revision = store->revision;
		record_change(store, object, false);
	} else {
		record_change(store, object, true);
		g_ptr_array_remove(store->objects, object);
	}
	answer_watches(store);
}

const char *platform_store_get(struct platform_store *store, const char *kind,
			       const char *name)
{
	struct object *object = object_find(store, kind, name);

	return object ? object->spec : NULL;
}

guint platform_store_count(struct platform_store *store, const char *kind)
{
	guint count = 0;

	for (guint i = 0; i < store->objects->len; i++)
		if (!strcmp(((struct object *)g_ptr_array_index(store->objects,
								i))
				    ->kind,
			    kind))
			count++;
	return count;
}

/* Takes ownership of `answer`. */
static void send_now(struct connection *connection, GString *answer)
{
	aub_http_stream_write(connection->stream, answer->str, answer->len);
	g_string_free(answer, TRUE);
	aub_http_stream_flush(connection->stream);
	aub_http_stream_resume(connection->stream);
}

static void on_delay(void *context, gint64 now_us)
{
	struct connection *connection = context;
	connection->timer = 0;
	send_now(connection, g_steal_pointer(&connection->answer));
}

static GString *answer_new(guint status, const char *body)
{
	GBytes *packed = platform_body_pack(body, strlen(body));
	gsize length;
	const char *data = g_bytes_get_data(packed, &length);
	GString *answer = g_string_new(NULL);

	g_string_printf(answer,
			"HTTP/1.1 %u X\r\nContent-Type: "
			"application/msgpack\r\nContent-Length: %zu\r\n\r\n",
			status, length);
	g_string_append_len(answer, data, (gssize)length);
	g_bytes_unref(packed);
	return answer;
}

/*
 * Sends a response after the configured delay. `body` is JSON; takes ownership
 * of it.
 */
static void reply(struct connection *connection, guint status, char *body)
{
	struct platform_store *store = connection->store;
	GString *answer;

	if (store->fault == PLATFORM_STORE_LOSE_ANSWERS) {
		connection->unanswered = true;
		g_free(body);
		return;
	}
	answer = answer_new(status, body);
	g_free(body);
	if (!store->delay_ms) {
		send_now(connection, answer);
		return;
	}
	connection->answer = answer;
	connection->timer = aub_timer_at(store->timers, "store delay",
					 aub_timer_now(store->timers) +
						 store->delay_ms * AUB_MS,
					 on_delay, connection);
}

static void reply_events(struct connection *connection)
{
	struct platform_store *store = connection->store;
	GString *text = g_string_new("{\"events\":[");
	guint count = 0;

	for (guint i = 0; i < store->changes->len; i++) {
		const struct change *change =
			g_ptr_array_index(store->changes, i);

		if (change->revision <= connection->watch_revision ||
		    strcmp(change->kind, connection->watch_kind) != 0)
			continue;
		g_string_append_printf(text, "%s%s", count++ ? "," : "",
				       change->text);
	}
	g_string_append_printf(text,
			       "],\"store_revision\":%" G_GINT64_FORMAT "}",
			       store->revision);
	connection->watching = false;
	reply(connection, 200, g_string_free(text, FALSE));
}

static bool has_events(const struct connection *connection)
{
	const struct platform_store *store = connection->store;

	for (guint i = 0; i < store->changes->len; i++) {
		const struct change *change =
			g_ptr_array_index(store->changes, i);

		if (change->revision > connection->watch_revision &&
		    !strcmp(change->kind, connection->watch_kind))
			return true;
	}
	return false;
}

static void answer_watches(struct platform_store *store)
{
	if (store->watch_events_suppressed)
		return;
	for (guint i = 0; i < store->connections->len; i++) {
		struct connection *connection =
			g_ptr_array_index(store->connections, i);

		if (connection->watching && has_events(connection) &&
		    store->fault == PLATFORM_STORE_NO_FAULT) {
			aub_timer_cancel(store->timers, connection->timer);
			connection->timer = 0;
			reply_events(connection);
		}
	}
}

static void on_watch_timeout(void *context, gint64 now_us)
{
	struct connection *connection = context;

	connection->timer = 0;
	reply_events(connection);
}

static gint64 query_number(const char *target, const char *name)
{
	char *text = aub_http_query_parameter(target, name);
	gint64 value = text ? g_ascii_strtoll(text, NULL, 10) : -1;

	g_free(text);
	return value;
}

static void handle_watch(struct connection *connection, const char *kind,
			 gint64 from_revision)
{
	struct platform_store *store = connection->store;
	gint64 wait_ms = MAX(query_number(connection->target, "wait_ms"), 0);

	if (from_revision < store->compacted_revision) {
		reply(connection, 410, g_strdup("{}"));
		return;
	}
	g_free(connection->watch_kind);
	connection->watch_kind = g_strdup(kind);
	connection->watch_revision = from_revision;
	connection->watching = true;
	if (has_events(connection)) {
		reply_events(connection);
		return;
	}
	connection->timer =
		aub_timer_at(store->timers, "watch",
			     aub_timer_now(store->timers) + wait_ms * AUB_MS,
			     on_watch_timeout, connection);
}

static bool is_from_cache(const struct connection *connection, bool first_page)
{
	const struct platform_store *store = connection->store;

	return store->cached_objects &&
	       query_number(connection->target, "stale_ok") == 1 &&
	       !(first_page && store->first_page_is_fresh);
}

/* Returns a parameter of a query in which '+' stands for a blank, or NULL. */
static char *form_parameter(const char *target, const char *name)
{
	char *text = g_strdelimit(g_strdup(target), "+", ' ');
	char *value = aub_http_query_parameter(text, name);

	g_free(text);
	return value;
}

static void handle_list(struct connection *connection, const char *kind)
{
	struct platform_store *store = connection->store;
	char *after = form_parameter(connection->target, "after");
	bool cached = is_from_cache(connection, !after);
	const GPtrArray *objects =
		cached ? store->cached_objects : store->objects;
	GString *text = g_string_new("{\"items\":[");
	guint count = 0;
	bool more = false;

	for (guint i = 0; i < objects->len && !more; i++) {
		struct object *object = g_ptr_array_index(objects, i);
		char *item;

		if (strcmp(object->kind, kind) != 0 ||
		    (after && strcmp(object->name, after) <= 0))
			continue;
		if (count == store->page_size) {
			more = true;
			continue;
		}
		item = object_text(object);
		g_string_append_printf(text, "%s%s", count++ ? "," : "", item);
		g_free(item);
	}
	g_string_append_printf(text,
			       "],\"more\":%s,\"store_revision\":"
			       "%" G_GINT64_FORMAT "}",
			       more ? "true" : "false",
			       cached ? store->cached_revision :
					store->revision);
	g_free(after);
	reply(connection, 200, g_string_free(text, FALSE));
}

static char *member_text(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node ? json_to_string(node, FALSE) : g_strdup("null");
}

/*
 * POST creates an object, PUT replaces one; PUT may name the revision that it
 * expects. If `part` is "status", only the status is replaced.
 */
static void handle_write(struct connection *connection, const char *kind,
			 const char *name, const char *part)
{
	struct platform_store *store = connection->store;
	char *text = platform_body_text(connection->body->str,
					connection->body->len);
	JsonNode *root = text ? json_from_string(text, NULL) : NULL;
	JsonObject *body = root && JSON_NODE_HOLDS_OBJECT(root) ?
				   json_node_get_object(root) :
				   NULL;
	JsonObject *metadata =
		body && json_object_has_member(body, "metadata") ?
			json_object_get_object_member(body, "metadata") :
			NULL;
	bool create = connection->method == HTTP_POST;
	struct object *object;
	char *value;

	if (!metadata) {
		reply(connection, 400, g_strdup("{}"));
		goto out;
	}
	if (create)
		name = json_object_get_string_member(metadata, "name");
	object = object_find(store, kind, name);
	if (create ? object != NULL :
		     object && json_object_has_member(metadata, "revision") &&
			     json_object_get_int_member(metadata, "revision") !=
				     object->revision) {
		reply(connection, 409, object_text(object));
		goto out;
	}
	if (!create && !object) {
		reply(connection, 404, g_strdup("{}"));
		goto out;
	}
	value = member_text(body, part);
	if (!strcmp(part, "status"))
		platform_store_put_status(store, kind, name, value);
	else
		platform_store_put(store, kind, name, value);
	g_free(value);
	reply(connection, 200, object_text(object_find(store, kind, name)));
out:
	if (root)
		json_node_unref(root);
	g_free(text);
}

/* Decodes the object's name in a split path; others are sent as they are. */
static void unescape_name(char **parts, guint count)
{
	char *name = count >= 4 ? g_uri_unescape_string(parts[3], NULL) : NULL;

	if (!name)
		return;
	g_free(parts[3]);
	parts[3] = name;
}

static void handle_call(struct connection *connection)
{
	struct platform_store *store = connection->store;
	char *path =
		g_strndup(connection->target, strcspn(connection->target, "?"));
	char **parts =
		g_strsplit(path, "/", -1); /* "", "objects", KIND, NAME, PART */
	guint count = g_strv_length(parts);
	gint64 from_revision = query_number(connection->target, "watch");

	unescape_name(parts, count);
	if (count < 3 || strcmp(parts[1], "objects") != 0) {
		reply(connection, 404, g_strdup("{}"));
	} else if (connection->method == HTTP_DELETE && count == 4) {
		platform_store_remove(store, parts[2], parts[3]);
		reply(connection, 200, g_strdup("{}"));
	} else if (connection->method != HTTP_GET) {
		handle_write(connection, parts[2], count >= 4 ? parts[3] : "",
			     count == 5 ? parts[4] : "spec");
	} else if (count == 4) {
		struct object *object = object_find(store, parts[2], parts[3]);

		reply(connection, object ? 200 : 404,
		      object ? object_text(object) : g_strdup("{}"));
	} else if (from_revision >= 0) {
		handle_watch(connection, parts[2], from_revision);
	} else {
		handle_list(connection, parts[2]);
	}
	g_strfreev(parts);
	g_free(path);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct connection *connection = context;

	connection->method = head->method;
	g_free(connection->target);
	connection->target = g_strdup(head->target);
	g_string_truncate(connection->body, 0);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct connection *connection = context;

	g_string_append_len(connection->body, data, (gssize)length);
}

static void on_complete(void *context)
{
	struct connection *connection = context;
	struct platform_store *store = connection->store;

	store->calls++;
	switch (store->fault) {
	case PLATFORM_STORE_UNAVAILABLE:
		reply(connection, 503, g_strdup("{}"));
		break;
	case PLATFORM_STORE_RATE_LIMITED:
		reply(connection, 429, g_strdup("{}"));
		break;
	case PLATFORM_STORE_RESET:
		aub_http_stream_reset_on_close(connection->stream);
		connection_free(connection);
		break;
	case PLATFORM_STORE_UNRESPONSIVE:
		connection->unanswered = true;
		break;
	case PLATFORM_STORE_MALFORMED:
		reply(connection, 200, g_strdup("{\"items\": 7, [}"));
		break;
	case PLATFORM_STORE_NO_FAULT:
	case PLATFORM_STORE_LOSE_ANSWERS:
		handle_call(connection);
		break;
	}
}

static void on_ended(enum aub_stream_end_reason end, bool midway, void *context)
{
	connection_free(context);
}

static const struct aub_http_callbacks callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static void on_connections_waiting(void *context, guint events)
{
	struct platform_store *store = context;
	int fd;

	while ((fd = aub_tcp_accept(store->listener)) >= 0) {
		struct connection *connection = g_new0(struct connection, 1);

		connection->store = store;
		connection->body = g_string_new(NULL);
		connection->stream =
			aub_http_stream_new(store->poller, fd, HTTP_REQUEST,
					    false, HEAD_BYTES_MAX, &callbacks,
					    connection);
		g_ptr_array_add(store->connections, connection);
	}
}

/*
 * Closes all connections, or only those of waiting watches. Freeing a
 * connection moves the last one into its place, hence the walk from the end.
 */
static void close_connections(struct platform_store *store, bool only_watches)
{
	for (guint i = store->connections->len; i > 0; i--) {
		struct connection *connection =
			g_ptr_array_index(store->connections, i - 1);

		if (connection->watching || !only_watches)
			connection_free(connection);
	}
}

struct platform_store *platform_store_new(struct aub_poller *poller,
					  struct aub_timer_service *timers)
{
	struct platform_store *store = g_new0(struct platform_store, 1);

	store->poller = poller;
	store->timers = timers;
	store->page_size = 500;
	store->objects = g_ptr_array_new_with_free_func(object_free);
	store->changes = g_ptr_array_new_with_free_func(change_free);
	store->connections = g_ptr_array_new();
	store->listener = aub_tcp_listen_loopback(&store->address);
	store->watch = aub_poller_add(poller, store->listener, EPOLLIN,
				      on_connections_waiting, store);
	return store;
}

void platform_store_free(struct platform_store *store)
{
	if (!store)
		return;
	close_connections(store, false);
	aub_poll_watch_remove(store->watch);
	close(store->listener);
	g_ptr_array_unref(store->connections);
	platform_store_update_cache(store);
	g_ptr_array_unref(store->objects);
	g_ptr_array_unref(store->changes);
	g_free(store->address);
	g_free(store);
}

const char *platform_store_address(const struct platform_store *store)
{
	return store->address;
}

void platform_store_set_fault(struct platform_store *store,
			      enum platform_store_fault fault)
{
	store->fault = fault;
	if (fault == PLATFORM_STORE_RESET)
		close_connections(store, false);
}

void platform_store_suppress_watch_events(struct platform_store *store,
					  bool suppress)
{
	store->watch_events_suppressed = suppress;
}

void platform_store_set_delay(struct platform_store *store, guint ms)
{
	store->delay_ms = ms;
}

void platform_store_compact(struct platform_store *store)
{
	g_ptr_array_set_size(store->changes, 0);
	store->compacted_revision = store->revision + 1;
	store->revision++;
	close_connections(store, true);
}

void platform_store_drop_history(struct platform_store *store)
{
	g_ptr_array_set_size(store->changes, 0);
	store->compacted_revision = store->revision;
	for (guint i = 0; i < store->connections->len; i++) {
		struct connection *connection =
			g_ptr_array_index(store->connections, i);

		if (!connection->watching)
			continue;
		aub_timer_cancel(store->timers, connection->timer);
		connection->timer = 0;
		connection->watching = false;
		reply(connection, 410, g_strdup("{}"));
	}
}

static void *object_copy(gconstpointer source, void *context)
{
	const struct object *object = source;
	struct object *copy = g_memdup2(object, sizeof(*object));

	copy->kind = g_strdup(object->kind);
	copy->name = g_strdup(object->name);
	copy->spec = g_strdup(object->spec);
	copy->status = g_strdup(object->status);
	copy->finalizers = g_strdup(object->finalizers);
	return copy;
}

void platform_store_freeze_cache(struct platform_store *store,
				 bool first_page_is_fresh)
{
	platform_store_update_cache(store);
	store->cached_objects =
		g_ptr_array_copy(store->objects, object_copy, NULL);
	g_ptr_array_set_free_func(store->cached_objects, object_free);
	store->cached_revision = store->revision;
	store->first_page_is_fresh = first_page_is_fresh;
}

void platform_store_update_cache(struct platform_store *store)
{
	g_clear_pointer(&store->cached_objects, g_ptr_array_unref);
}

void platform_store_set_page_size(struct platform_store *store, guint objects)
{
	store->page_size = objects;
}

guint64 platform_store_call_count(const struct platform_store *store)
{
	return store->calls;
}
