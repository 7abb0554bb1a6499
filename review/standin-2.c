/* The stand-ins; see standin-2.h. */
#include "standin-2.h"

#include <auburnstile/internal/http_listener.h>
#include <auburnstile/internal/tcp.h>
#include <platform/body.h>

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <msgpack.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define HEAD_BYTES_MAX (256u << 10)
#define BACKEND_QUEUE 12

/* A connection to the store or to a backend. */
struct connection {
	struct store *store;
	struct backend *backend;
	struct aub_http_stream *stream;
	guint method;
	char *target;
	char *request_id;
	char *expected_id; /* Target-Instance */
	GByteArray *body;
	GByteArray *answer; /* until its time has come */
	guint timer;
	bool watching;
	char *watch_kind;
	gint64 watch_revision;
	bool running;
	bool waiting;
	bool extra_due; /* additional bytes precede the next answer */
};

gint64 world_now_us(const struct world *world)
{
	return aub_timer_now(world->timers);
}

void world_note(struct world *world, const char *format, ...)
{
	gint64 ms = (world_now_us(world) - world->start_us) / 1000;
	va_list arguments;

	fprintf(world->record, "%7.3f ", (double)ms / 1000);
	va_start(arguments, format);
	vfprintf(world->record, format, arguments);
	va_end(arguments);
	fputc('\n', world->record);
	fflush(world->record);
}

void world_run_for(struct world *world, guint ms)
{
	gint64 end = world_now_us(world) + ms * (gint64)1000;

	while (world_now_us(world) < end) {
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(200);
	}
}

static void connection_free(struct connection *connection)
{
	struct world *world = connection->store ? connection->store->world :
						  connection->backend->world;
	GPtrArray *list = connection->store ? connection->store->connections :
					      connection->backend->connections;

	if (connection->running)
		connection->backend->running--;
	if (connection->waiting)
		g_queue_remove(&connection->backend->waiting, connection);
	g_ptr_array_remove_fast(list, connection);
	aub_timer_cancel(world->timers, connection->timer);
	aub_http_stream_free(connection->stream);
	g_byte_array_unref(connection->body);
	if (connection->answer)
		g_byte_array_unref(connection->answer);
	g_free(connection->target);
	g_free(connection->request_id);
	g_free(connection->expected_id);
	g_free(connection->watch_kind);
	g_free(connection);
}

static void send_bytes(struct connection *connection, const void *data,
		       gsize length)
{
	aub_http_stream_write(connection->stream, data, length);
	aub_http_stream_flush(connection->stream);
	aub_http_stream_resume(connection->stream);
}

/* The store. */

static void pack_text(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str_with_body(packer, text, strlen(text));
}

static void pack_object(msgpack_sbuffer *buffer, msgpack_packer *packer,
			const struct change *change)
{
	gsize length;
	const void *data = g_bytes_get_data(change->spec, &length);

	msgpack_pack_map(packer, 3);
	pack_text(packer, "metadata");
	msgpack_pack_map(packer, 5);
	pack_text(packer, "name");
	pack_text(packer, change->name);
	pack_text(packer, "revision");
	msgpack_pack_int64(packer, change->revision);
	pack_text(packer, "created");
	msgpack_pack_int64(packer, change->created);
	pack_text(packer, "finalizers");
	msgpack_pack_array(packer, 0);
	pack_text(packer, "deleting");
	msgpack_pack_false(packer);
	pack_text(packer, "spec");
	msgpack_sbuffer_write(buffer, data, length);
	pack_text(packer, "status");
	msgpack_pack_nil(packer);
}

static void on_answer_due(void *context, gint64 now_us)
{
	struct connection *connection = context;
	GByteArray *answer = g_steal_pointer(&connection->answer);

	connection->timer = 0;
	send_bytes(connection, answer->data, answer->len);
	g_byte_array_unref(answer);
}

static void store_reply(struct connection *connection, guint status,
			const char *data, gsize length)
{
	struct store *store = connection->store;
	char *head = g_strdup_printf("HTTP/1.1 %u X\r\nContent-Type: "
				     "application/msgpack\r\n"
				     "Content-Length: %zu\r\n\r\n",
				     status, length);

	connection->watching = false;
	aub_timer_cancel(store->world->timers, connection->timer);
	connection->answer = g_byte_array_new();
	g_byte_array_append(connection->answer, (const guint8 *)head,
			    (guint)strlen(head));
	if (length)
		g_byte_array_append(connection->answer, (const guint8 *)data,
				    (guint)length);
	g_free(head);
	connection->timer = aub_timer_at(store->world->timers, "store answer",
					 world_now_us(store->world) +
						 store->answer_ms * AUB_MS,
					 on_answer_due, connection);
}

static void reply_empty(struct connection *connection, guint status)
{
	store_reply(connection, status, "\x80", 1);
}

/* Returns the newest change of each object of a kind up to `revision`. */
static GPtrArray *objects_at(struct store *store, const char *kind,
			     gint64 revision)
{
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *result = g_ptr_array_new();

	for (guint i = 0; i < store->changes->len; i++) {
		struct change *change = g_ptr_array_index(store->changes, i);

		if (!strcmp(change->kind, kind) && change->revision <= revision)
			g_hash_table_replace(newest, change->name, change);
	}
	for (guint i = 0; i < store->changes->len; i++) {
		struct change *change = g_ptr_array_index(store->changes, i);

		if (!strcmp(change->kind, kind) && !change->removed &&
		    g_hash_table_lookup(newest, change->name) == change)
			g_ptr_array_add(result, change);
	}
	g_hash_table_unref(newest);
	return result;
}

static gint64 stale_revision(const struct store *store)
{
	gint64 until_us = world_now_us(store->world) - store->stale_ms * AUB_MS;
	gint64 revision = 1;

	if (!store->stale_ms)
		return store->revision;
	for (guint i = 0; i < store->changes->len; i++) {
		struct change *change = g_ptr_array_index(store->changes, i);

		if (change->at_us <= until_us)
			revision = change->revision;
	}
	return revision;
}

static gint by_name(gconstpointer left, gconstpointer right)
{
	return strcmp((*(struct change *const *)left)->name,
		      (*(struct change *const *)right)->name);
}

/* Leaves one page of the objects. Returns whether more follow. */
static bool cut_page(GPtrArray *objects, const char *after, guint size)
{
	bool more;

	g_ptr_array_sort(objects, by_name);
	while (after && objects->len &&
	       strcmp(((struct change *)g_ptr_array_index(objects, 0))->name,
		      after) <= 0)
		g_ptr_array_remove_index(objects, 0);
	more = objects->len > size;
	if (more)
		g_ptr_array_set_size(objects, (gint)size);
	return more;
}

static void reply_list(struct connection *connection, const char *kind)
{
	struct store *store = connection->store;
	char *after = aub_http_query_parameter(connection->target, "after");
	bool stale = strstr(connection->target, "stale_ok=1") &&
		     (after || !store->first_page_is_fresh);
	gint64 revision = stale ? stale_revision(store) : store->revision;
	GPtrArray *objects = objects_at(store, kind, revision);
	bool more = cut_page(objects, after, store->page_size);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_map(&packer, 3);
	pack_text(&packer, "items");
	msgpack_pack_array(&packer, objects->len);
	for (guint i = 0; i < objects->len; i++)
		pack_object(&buffer, &packer, g_ptr_array_index(objects, i));
	pack_text(&packer, "more");
	if (more)
		msgpack_pack_true(&packer);
	else
		msgpack_pack_false(&packer);
	g_free(after);
	pack_text(&packer, "store_revision");
	msgpack_pack_int64(&packer, revision);
	store_reply(connection, 200, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	g_ptr_array_unref(objects);
}

static guint count_events(const struct connection *connection)
{
	guint count = 0;

	for (guint i = 0; i < connection->store->changes->len; i++) {
		const struct change *change =
			g_ptr_array_index(connection->store->changes, i);

		count += change->revision > connection->watch_revision &&
			 !strcmp(change->kind, connection->watch_kind);
	}
	return count;
}

static void reply_events(struct connection *connection)
{
	struct store *store = connection->store;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_map(&packer, 2);
	pack_text(&packer, "events");
	msgpack_pack_array(&packer, count_events(connection));
	for (guint i = 0; i < store->changes->len; i++) {
		const struct change *change =
			g_ptr_array_index(store->changes, i);

		if (change->revision <= connection->watch_revision ||
		    strcmp(change->kind, connection->watch_kind) != 0)
			continue;
		msgpack_pack_map(&packer, 2);
		pack_text(&packer, "removed");
		if (change->removed)
			msgpack_pack_true(&packer);
		else
			msgpack_pack_false(&packer);
		pack_text(&packer, "object");
		pack_object(&buffer, &packer, change);
	}
	pack_text(&packer, "store_revision");
	msgpack_pack_int64(&packer, store->revision);
	store_reply(connection, 200, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

static void on_watch_end(void *context, gint64 now_us)
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

static void begin_watch(struct connection *connection, const char *kind,
			gint64 revision)
{
	struct store *store = connection->store;
	gint64 wait_ms = MAX(query_number(connection->target, "wait_ms"), 0);

	if (revision < store->forgotten_revision) {
		reply_empty(connection, 410);
		return;
	}
	g_free(connection->watch_kind);
	connection->watch_kind = g_strdup(kind);
	connection->watch_revision = revision;
	if (count_events(connection)) {
		reply_events(connection);
		return;
	}
	connection->watching = true;
	connection->timer =
		aub_timer_at(store->world->timers, "watch",
			     world_now_us(store->world) + wait_ms * AUB_MS,
			     on_watch_end, connection);
}

static void add_change(struct store *store, const char *kind, const char *name,
		       GBytes *spec, bool removed)
{
	GPtrArray *objects = objects_at(store, kind, store->revision);
	struct change *change = g_new0(struct change, 1);

	change->revision = ++store->revision;
	change->created = change->revision;
	for (guint i = 0; i < objects->len; i++) {
		const struct change *before = g_ptr_array_index(objects, i);

		if (!strcmp(before->name, name))
			change->created = before->created;
	}
	g_ptr_array_unref(objects);
	change->at_us = world_now_us(store->world);
	change->kind = g_strdup(kind);
	change->name = g_strdup(name);
	change->spec = g_bytes_ref(spec);
	change->removed = removed;
	g_ptr_array_add(store->changes, change);
	for (guint i = 0; i < store->connections->len; i++) {
		struct connection *connection =
			g_ptr_array_index(store->connections, i);

		if (connection->watching &&
		    !strcmp(connection->watch_kind, kind))
			reply_events(connection);
	}
}

static struct change *find_object(struct store *store, const char *kind,
				  const char *name)
{
	GPtrArray *objects = objects_at(store, kind, store->revision);
	struct change *found = NULL;

	for (guint i = 0; i < objects->len; i++) {
		struct change *change = g_ptr_array_index(objects, i);

		if (!strcmp(change->name, name))
			found = change;
	}
	g_ptr_array_unref(objects);
	return found;
}

gint64 store_put(struct store *store, const char *kind, const char *name,
		 GBytes *spec)
{
	struct change *before = find_object(store, kind, name);

	if (!before || !g_bytes_equal(before->spec, spec))
		add_change(store, kind, name, spec, false);
	return world_now_us(store->world);
}

gint64 store_put_json(struct store *store, const char *kind, const char *name,
		      const char *json)
{
	GBytes *spec = platform_body_pack(json, strlen(json));
	gint64 at_us = store_put(store, kind, name, spec);

	g_bytes_unref(spec);
	return at_us;
}

void store_remove(struct store *store, const char *kind, const char *name)
{
	struct change *before = find_object(store, kind, name);

	if (before)
		add_change(store, kind, name, before->spec, true);
}

void store_forget(struct store *store)
{
	store->forgotten_revision = store->revision + 1;
	store->revision++;
	for (guint i = 0; i < store->connections->len; i++) {
		struct connection *connection =
			g_ptr_array_index(store->connections, i);

		if (connection->watching)
			reply_empty(connection, 410);
	}
}

/* The gateways create and delete entries of their own kind only. */
static void store_write(struct connection *connection, const char *kind,
			const char *name)
{
	struct store *store = connection->store;
	msgpack_unpacked unpacked;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	size_t offset = 0;
	GBytes *spec = NULL;
	char *created = NULL;

	if (connection->method == HTTP_DELETE) {
		if (name)
			store_remove(store, kind, name);
		reply_empty(connection, 200);
		return;
	}
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)connection->body->data,
				connection->body->len,
				&offset) == MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_MAP) {
		const msgpack_object_map *map = &unpacked.data.via.map;

		for (guint i = 0; i < map->size; i++) {
			const msgpack_object_str *key =
				&map->ptr[i].key.via.str;
			const msgpack_object *value = &map->ptr[i].val;

			if (key->size == 4 && !memcmp(key->ptr, "spec", 4)) {
				msgpack_sbuffer_init(&buffer);
				msgpack_packer_init(&packer, &buffer,
						    msgpack_sbuffer_write);
				msgpack_pack_object(&packer, *value);
				spec = g_bytes_new(buffer.data, buffer.size);
				msgpack_sbuffer_destroy(&buffer);
			} else if (key->size == 8 &&
				   !memcmp(key->ptr, "metadata", 8)) {
				const msgpack_object_str *text =
					&value->via.map.ptr[0].val.via.str;

				created = g_strndup(text->ptr, text->size);
			}
		}
	}
	msgpack_unpacked_destroy(&unpacked);
	if (!spec || (!name && !created)) {
		reply_empty(connection, 400);
	} else if (connection->method == HTTP_POST &&
		   find_object(store, kind, created)) {
		reply_empty(connection, 409);
	} else {
		store_put(store, kind, name ? name : created, spec);
		reply_empty(connection, 200);
	}
	if (spec)
		g_bytes_unref(spec);
	g_free(created);
}

static void store_on_complete(void *context)
{
	struct connection *connection = context;
	char *path =
		g_strndup(connection->target, strcspn(connection->target, "?"));
	char **parts = g_strsplit(path, "/", -1);
	guint count = g_strv_length(parts);
	gint64 revision = query_number(connection->target, "watch");

	connection->store->calls++;
	if (count < 3)
		reply_empty(connection, 404);
	else if (connection->method != HTTP_GET)
		store_write(connection, parts[2], count > 3 ? parts[3] : NULL);
	else if (revision >= 0)
		begin_watch(connection, parts[2], revision);
	else
		reply_list(connection, parts[2]);
	g_strfreev(parts);
	g_free(path);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct connection *connection = context;

	connection->method = head->method;
	g_free(connection->target);
	connection->target = g_strdup(head->target);
	g_free(connection->request_id);
	connection->request_id =
		g_strdup(aub_http_head_find(head, "Request-Id"));
	g_free(connection->expected_id);
	connection->expected_id =
		g_strdup(aub_http_head_find(head, "Target-Instance"));
	g_byte_array_set_size(connection->body, 0);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct connection *connection = context;

	g_byte_array_append(connection->body, (const guint8 *)data,
			    (guint)length);
}

static void start_waiting(struct backend *backend);

static void on_ended(enum aub_stream_end_reason end, bool midway, void *context)
{
	struct connection *connection = context;
	struct backend *backend = connection->backend;

	connection_free(connection);
	if (backend)
		start_waiting(backend);
}

static const struct aub_http_callbacks store_callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = store_on_complete,
	.ended = on_ended,
};

static struct connection *connection_new(struct world *world, int fd,
					 struct store *store,
					 struct backend *backend,
					 const struct aub_http_callbacks *calls)
{
	struct connection *connection = g_new0(struct connection, 1);

	connection->store = store;
	connection->backend = backend;
	connection->body = g_byte_array_new();
	connection->stream =
		aub_http_stream_new(world->poller, fd, HTTP_REQUEST, false,
				    HEAD_BYTES_MAX, calls, connection);
	return connection;
}

static void store_on_readable(void *context, guint events)
{
	struct store *store = context;
	int fd;

	while ((fd = aub_tcp_accept(store->listener)) >= 0)
		g_ptr_array_add(store->connections,
				connection_new(store->world, fd, store, NULL,
					       &store_callbacks));
}

/* Backends. */

static void backend_answer(struct connection *connection, guint status,
			   const char *headers, gsize body_bytes)
{
	const struct backend *backend = connection->backend;
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "HTTP/1.1 %u X\r\nInstance-Id: %s\r\n"
			       "Instance-Load: %u,%u,%u,100\r\n"
			       "Content-Length: %zu\r\n%s",
			       status, backend->id, backend->running,
			       backend->waiting.length, backend->slots,
			       body_bytes, headers);
	if (connection->request_id)
		g_string_append_printf(text, "Request-Id: %s\r\n",
				       connection->request_id);
	g_string_append(text, "\r\n");
	for (gsize i = 0; i < body_bytes; i++)
		g_string_append_c(text, 'x');
	send_bytes(connection, text->str, text->len);
	g_string_free(text, TRUE);
}

static void on_work_done(void *context, gint64 now_us)
{
	struct connection *connection = context;
	struct backend *backend = connection->backend;

	connection->timer = 0;
	connection->running = false;
	backend->running--;
	connection->extra_due = backend->extra_every &&
				++backend->answers % backend->extra_every == 0;
	backend_answer(connection, 200,
		       "Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", 600);
	start_waiting(backend);
}

/*
 * The bytes are the answer of a backend that sheds, as `fleetbench wire` shows
 * it.
 */
static void send_extra(struct connection *connection)
{
	static const char extra[] = "HTTP/1.1 503 Service Unavailable\r\n"
				    "Not-Executed: 1\r\n"
				    "Content-Length: 0\r\n\r\n";

	connection->extra_due = false;
	connection->backend->extras++;
	aub_http_stream_write(connection->stream, extra, strlen(extra));
	aub_http_stream_flush(connection->stream);
}

static void start_work(struct connection *connection)
{
	struct backend *backend = connection->backend;
	struct world *world = backend->world;
	struct call *call =
		g_hash_table_lookup(world->calls_by_id, connection->request_id);

	if (connection->extra_due && backend->extra_every)
		send_extra(connection);
	connection->running = true;
	backend->running++;
	backend->runs++;
	if (call) {
		call->runs++;
		g_string_append_printf(
			call->ran_at, " %s at %.3f", backend->id,
			(double)(world_now_us(world) - world->start_us) / 1e6);
	}
	if (world->on_run)
		world->on_run(backend, call);
	connection->timer =
		aub_timer_at(world->timers, "work",
			     world_now_us(world) + backend->work_ms * AUB_MS,
			     on_work_done, connection);
}

static void start_waiting(struct backend *backend)
{
	while (backend->running < backend->slots && backend->waiting.length) {
		struct connection *next = g_queue_pop_head(&backend->waiting);

		next->waiting = false;
		start_work(next);
	}
}

static void report_arrival(struct connection *connection)
{
	struct world *world = connection->backend->world;

	if (world->on_arrival && connection->request_id)
		world->on_arrival(connection->backend,
				  g_hash_table_lookup(world->calls_by_id,
						      connection->request_id));
}

static void backend_on_complete(void *context)
{
	struct connection *connection = context;
	struct backend *backend = connection->backend;

	if (g_str_has_prefix(connection->target, "/health")) {
		backend_answer(connection,
			       strcmp(backend->state, "ready") ? 503 : 200, "",
			       0);
		return;
	}
	if (connection->expected_id &&
	    strcmp(connection->expected_id, backend->id) != 0) {
		backend_answer(connection, 421, "", 0);
		return;
	}
	report_arrival(connection);
	if (!connection->request_id) {
		backend_answer(connection, 400, "Not-Executed: 1\r\n", 0);
	} else if (backend->running < backend->slots) {
		start_work(connection);
	} else if (backend->waiting.length < BACKEND_QUEUE) {
		connection->waiting = true;
		g_queue_push_tail(&backend->waiting, connection);
	} else {
		backend_answer(connection, 503, "Not-Executed: 1\r\n", 0);
	}
}

static const struct aub_http_callbacks backend_callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = backend_on_complete,
	.ended = on_ended,
};

static void backend_on_readable(void *context, guint events)
{
	struct backend *backend = context;
	int fd;

	while ((fd = aub_tcp_accept(backend->listener)) >= 0)
		g_ptr_array_add(backend->connections,
				connection_new(backend->world, fd, NULL,
					       backend, &backend_callbacks));
}

struct backend *backend_new(struct world *world, const char *id,
			    const char *zone, guint slots, guint work_ms)
{
	struct backend *backend = g_new0(struct backend, 1);

	backend->world = world;
	backend->id = g_strdup(id);
	backend->service = g_strdup("svc");
	backend->zone = g_strdup(zone);
	backend->slots = slots;
	backend->work_ms = work_ms;
	backend->born_ms = g_get_real_time() / 1000;
	backend->connections = g_ptr_array_new();
	g_queue_init(&backend->waiting);
	backend->listener = aub_tcp_listen_loopback(&backend->address);
	backend->watch = aub_poller_add(world->poller, backend->listener,
					EPOLLIN, backend_on_readable, backend);
	g_ptr_array_add(world->backends, backend);
	return backend;
}

gint64 backend_register(struct backend *backend, const char *state,
			guint warmup_ms)
{
	char *text;
	gint64 at_us;

	g_strlcpy(backend->state, state, sizeof(backend->state));
	text = g_strdup_printf(
		"{\"address\":\"%s\",\"details\":{\"service\":\"%s\","
		"\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%u},"
		"\"status\":{\"state\":\"%s\",\"sequence\":%u,"
		"\"warmup_left_ms\":%u},\"born\":%" G_GINT64_FORMAT "}",
		backend->address, backend->service, backend->zone,
		backend->slots, state, ++backend->sequence, warmup_ms,
		backend->born_ms);
	at_us = store_put_json(backend->world->store, "servers", backend->id,
			       text);
	g_free(text);
	world_note(backend->world, "store: servers/%s is %s, warmup_left_ms %u",
		   backend->id, state, warmup_ms);
	return at_us;
}

/* Gateways. */

static bool port_is_free(const char *ip, guint16 port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	bool is_free = true;

	inet_pton(AF_INET, ip, &address.sin_addr);
	for (int type = SOCK_STREAM; is_free; type = SOCK_DGRAM) {
		int fd = socket(AF_INET, type, 0);

		is_free =
			!bind(fd, (struct sockaddr *)&address, sizeof(address));
		close(fd);
		if (type == SOCK_DGRAM)
			break;
	}
	return is_free;
}

struct gateway *gateway_new(struct world *world, const char *name,
			    const char *zone)
{
	struct gateway *gateway = g_new0(struct gateway, 1);
	GString *text = g_string_new(NULL);

	g_ptr_array_add(world->gateways, gateway);
	gateway->world = world;
	gateway->name = g_strdup(name);
	gateway->zone = g_strdup(zone);
	gateway->ip = g_strdup_printf("127.%u.%u.%u", world->host_block >> 8,
				      world->host_block & 255,
				      9 + world->gateways->len);
	for (guint i = 0; i < G_N_ELEMENTS(world->ports); i++)
		if (!port_is_free(gateway->ip, world->ports[i]))
			exit(2);
	gateway->callers =
		g_strdup_printf("%s:%u", gateway->ip, world->ports[0]);
	gateway->readiness =
		g_strdup_printf("%s:%u", gateway->ip, world->ports[2]);
	gateway->file = g_strdup_printf("%s/%s.toml", world->folder, name);
	gateway->log = g_strdup_printf("%s/%s.log", world->folder, name);
	/* As deploy/gateway.toml.in gives them for a small deployment. */
	g_string_append_printf(
		text,
		"name = \"%s\"\nzone = \"%s\"\ncallers = \"%s\"\n"
		"directory = \"%s:%u\"\nreadiness = \"%s\"\n"
		"peers = \"%s:%u\"\nmetrics = \"%s:%u\"\nstore = \"%s\"\n"
		"seeds = [",
		name, zone, gateway->callers, gateway->ip, world->ports[1],
		gateway->readiness, gateway->ip, world->ports[3], gateway->ip,
		world->ports[4], world->store->address);
	for (guint i = 0; i < 3; i++)
		g_string_append_printf(text, "%s\"127.%u.%u.%u:%u\"",
				       i ? "," : "", world->host_block >> 8,
				       world->host_block & 255, 10 + i,
				       world->ports[1]);
	g_string_append_printf(text,
			       "]\nbootstrap = true\ngrace_s = %u\n"
			       "apply_ms = 2000\nretry_slack = 64\n"
			       "retry_window_s = 10\nretry_ratio = 0.2\n"
			       "processor_share = 0.2\nprocessor_cores = 1\n",
			       world->grace_s);
	if (!g_file_set_contents(gateway->file, text->str, -1, NULL))
		exit(2);
	g_string_free(text, TRUE);
	return gateway;
}

void gateway_start(struct gateway *gateway)
{
	GPid pid = fork();

	if (!pid) {
		int fd =
			open(gateway->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execl("target/auburnstile-gateway", "auburnstile-gateway",
		      "--settings", gateway->file, NULL);
		_exit(127);
	}
	gateway->pid = pid;
	world_note(gateway->world, "gateway %s (%s, zone %s) started",
		   gateway->name, gateway->ip, gateway->zone);
}

struct ready {
	bool done;
	bool ready;
};

static void on_ready(enum aub_exchange_result result,
		     const struct aub_http_head *head, const char *body,
		     gsize length, void *context)
{
	struct ready *ready = context;

	ready->done = true;
	ready->ready = head && head->status == 200;
}

static bool is_ready(struct gateway *gateway)
{
	struct ready ready = { 0 };
	const struct aub_http_call_options options = {
		.method = "GET",
		.address = gateway->readiness,
		.path = "/ready",
		.timeout_ms = 1000,
	};

	aub_http_call_new(gateway->world->client, &options, on_ready, &ready);
	while (!ready.done)
		world_run_for(gateway->world, 2);
	return ready.ready;
}

bool world_wait_ready(struct world *world, guint ms)
{
	gint64 end_us = world_now_us(world) + ms * AUB_MS;
	guint ready = 0;

	while (ready < world->gateways->len && world_now_us(world) < end_us) {
		ready = 0;
		for (guint i = 0; i < world->gateways->len; i++)
			ready +=
				is_ready(g_ptr_array_index(world->gateways, i));
		world_run_for(world, 50);
	}
	world_note(world, "%u of %u gateways are ready", ready,
		   world->gateways->len);
	return ready == world->gateways->len;
}

/* Clients. */

static void call_on_head(const struct aub_http_head *head, void *context)
{
	struct call *call = context;

	call->status = head->status;
}

static void call_on_body(const char *data, gsize length, void *context)
{
}

static void call_on_ended(enum aub_exchange_result result, void *context)
{
	struct call *call = context;

	call->exchange = NULL;
	call->ended = true;
	call->answered_us = world_now_us(call->world);
	aub_timer_cancel(call->world->timers, call->timer);
	call->timer = 0;
	if (result != AUB_EXCHANGE_COMPLETE)
		call->status = 0;
}

static void call_on_deadline(void *context, gint64 now_us)
{
	struct call *call = context;

	call->timer = 0;
	call->ended = true;
	call->status = 0;
	call->answered_us = now_us;
	aub_exchange_cancel(g_steal_pointer(&call->exchange));
}

static const struct aub_exchange_callbacks call_callbacks = {
	.head = call_on_head,
	.body = call_on_body,
	.ended = call_on_ended,
};

struct call *world_send(struct world *world, struct gateway *gateway, bool safe,
			guint filler_bytes)
{
	struct call *call = g_new0(struct call, 1);
	const struct aub_exchange_options options = {
		.address = gateway->callers,
		.pool_name = "client",
		.idle_max_us = 8 * AUB_SECOND,
	};
	GString *text = g_string_new(NULL);

	call->world = world;
	call->gateway = gateway;
	call->safe = safe;
	call->sent_us = world_now_us(world);
	call->ran_at = g_string_new(NULL);
	g_snprintf(call->id, sizeof(call->id), "c%08x", ++world->next_call);
	g_ptr_array_add(world->calls, call);
	g_hash_table_insert(world->calls_by_id, call->id, call);
	g_string_append_printf(text,
			       "%s /%s/%u HTTP/1.1\r\nHost: site\r\n"
			       "Request-Id: %s\r\n"
			       "Deadline-Remaining-Ms: %u\r\n",
			       safe ? "GET" : "DELETE", safe ? "safe" : "once",
			       world->next_call, call->id, world->deadline_ms);
	if (filler_bytes) {
		g_string_append(text, "Cookie: ");
		for (guint i = 0; i < filler_bytes; i++)
			g_string_append_c(text, 'c');
		g_string_append(text, "\r\n");
	}
	g_string_append(text, "\r\n");
	call->timer = aub_timer_at(world->timers, "deadline",
				   call->sent_us + world->deadline_ms * AUB_MS,
				   call_on_deadline, call);
	call->exchange = aub_exchange_new(world->client, &options,
					  &call_callbacks, call);
	aub_exchange_write(call->exchange, text->str, text->len);
	aub_exchange_mark_request_complete(call->exchange);
	aub_exchange_flush(call->exchange);
	g_string_free(text, TRUE);
	return call;
}

static void on_load(void *context, gint64 now_us)
{
	struct world *world = context;
	guint turn = world->load_turn++;

	struct gateway *gateway =
		g_ptr_array_index(world->gateways, turn % world->gateways->len);

	/* The first of three, or the second of two. */
	if (gateway->without_clients)
		gateway = g_ptr_array_index(world->gateways,
					    world->gateways->len == 2 ?
						    0 :
						    1 + turn / 3 % 2);
	world_send(world, gateway, turn / world->gateways->len % 3 != 0, 0);
}

void world_set_load(struct world *world, guint per_s)
{
	aub_timer_cancel(world->timers, world->load_timer);
	world->load_timer = 0;
	if (per_s)
		world->load_timer =
			aub_timer_every(world->timers, "load",
					AUB_SECOND / per_s, on_load, world);
}

/* The world. */

void world_configure(struct world *world, guint version, guint header_bytes)
{
	char *text = g_strdup_printf(
		"{\"version\":%u,\"routes\":{\"columns\":[\"name\",\"host\","
		"\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\","
		"\"priority\",\"service\",\"max_attempts\",\"traffic_split\"],"
		"\"rows\":[[\"r1\",\"site\",\"/safe/\",\"safe\",1500,400,2,"
		"\"svc\",2,null],[\"r2\",\"site\",\"/once/\",\"unsafe\",%u,"
		"500,1,\"svc\",2,null]]},\"services\":{\"columns\":[\"name\","
		"\"health_path\",\"max_conns\",\"protocol\",\"tls\","
		"\"warmup_s\",\"warmup_per_s\"],\"rows\":[[\"svc\","
		"\"/health\",260,\"h1\",false,3.0,8.4],[\"other\",\"/health\",260,"
		"\"h1\",false,3.0,8.4]]},\"limits\":{"
		"\"max_header_bytes\":%u,\"max_body_bytes\":67108864,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
		version, world->once_timeout_ms, header_bytes);

	store_put_json(world->store, "config", "main", text);
	world_note(world,
		   "store: config/main is version %u, max_header_bytes %u",
		   version, header_bytes);
	g_free(text);
}

struct world *world_new(const char *record)
{
	const char *trouble = g_getenv("TROUBLE");
	struct world *world = g_new0(struct world, 1);
	struct store *store = g_new0(struct store, 1);

	signal(SIGPIPE, SIG_IGN);
	world->trouble = !trouble || strcmp(trouble, "0") != 0;
	world->timers = aub_timer_service_new(NULL);
	world->poller = aub_poller_new();
	world->client = aub_http_client_new(world->poller, world->timers);
	world->start_us = world_now_us(world);
	world->grace_s = 6;
	world->once_timeout_ms = 2000;
	world->deadline_ms = 3000;
	world->backends = g_ptr_array_new();
	world->gateways = g_ptr_array_new();
	world->calls = g_ptr_array_new();
	world->calls_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	world->record = fopen(record, "w");
	world->folder = g_dir_make_tmp("review-XXXXXX", NULL);
	if (!world->record || !world->folder)
		exit(2);
	world->host_block = 0x4000 + (guint)getpid() % 0x3000;
	for (guint i = 0; i < G_N_ELEMENTS(world->ports); i++)
		world->ports[i] = (guint16)(21000 + i);
	world->store = store;
	store->world = world;
	store->revision = 100;
	store->answer_ms = STORE_ANSWER_MS;
	store->page_size = 500;
	store->changes = g_ptr_array_new();
	store->connections = g_ptr_array_new();
	store->listener = aub_tcp_listen_loopback(&store->address);
	aub_poller_add(world->poller, store->listener, EPOLLIN,
		       store_on_readable, store);
	world_note(world, "TROUBLE=%d", world->trouble);
	return world;
}

/* One line for each request: when sent, id, kind, gateway, answer, runs. */
static void record_calls(struct world *world)
{
	fputs("requests: sent, id, kind, gateway: status, after s; ran at\n",
	      world->record);
	for (guint i = 0; i < world->calls->len; i++) {
		const struct call *call = g_ptr_array_index(world->calls, i);

		fprintf(world->record, "%.3f %s %s %s: ",
			(double)(call->sent_us - world->start_us) / 1e6,
			call->id, call->safe ? "safe" : "unsafe",
			call->gateway->name);
		if (call->ended && call->status)
			fprintf(world->record, "%u, %.3f;", call->status,
				(double)(call->answered_us - call->sent_us) /
					1e6);
		else
			fputs("no answer;", world->record);
		fprintf(world->record, "%s\n", call->ran_at->str);
	}
}

int world_end(struct world *world, int result)
{
	world_set_load(world, 0);
	world_note(world, "exit %d", result);
	record_calls(world);
	for (guint i = 0; i < world->gateways->len; i++) {
		struct gateway *gateway = g_ptr_array_index(world->gateways, i);

		if (!gateway->pid)
			continue;
		kill(gateway->pid, SIGCONT);
		kill(gateway->pid, SIGKILL);
		waitpid(gateway->pid, NULL, 0);
		if (!g_getenv("KEEP_LOGS")) {
			unlink(gateway->log);
			unlink(gateway->file);
		}
	}
	if (!g_getenv("KEEP_LOGS"))
		rmdir(world->folder);
	else
		printf("logs in %s\n", world->folder);
	fclose(world->record);
	return result;
}
