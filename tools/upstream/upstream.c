/*
 * Lifecycle of requests in a stand-in upstream; see upstream.h.
 *
 * While cold it tolerates `cold_slots` running and queued requests; one more
 * makes it crash, which closes all its connections. A closed connection cancels
 * its request. A request whose X-Deadline-Ms passes while it is queued is
 * refused as not run.
 */
#include "upstream/upstream.h"

#include <math.h>
#include <string.h>
#include <sys/socket.h>

static const char *const fault_names[UPSTREAM_FAULT_COUNT] = {
	[UPSTREAM_FAULT_FAIL_FAST] = "fail_fast",
	[UPSTREAM_FAULT_TRUNCATE] = "truncate",
	[UPSTREAM_FAULT_WRONG_LENGTH] = "wrong_length",
	[UPSTREAM_FAULT_RESET_MIDDLE] = "reset_middle",
	[UPSTREAM_FAULT_NO_ANSWER] = "never",
	[UPSTREAM_FAULT_LATE_ANSWER] = "late",
	[UPSTREAM_FAULT_CRASH_AFTER] = "crash_after",
	[UPSTREAM_FAULT_SHED] = "shed",
};

struct upstream_shared *upstream_shared_new(guint32 seed)
{
	struct upstream_shared *shared = g_new0(struct upstream_shared, 1);

	shared->random = g_rand_new_with_seed(seed);
	shared->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return shared;
}

void upstream_shared_free(struct upstream_shared *shared)
{
	g_rand_free(shared->random);
	g_hash_table_unref(shared->runs);
	g_free(shared);
}

static struct upstream_run *find_or_create_run(struct upstream_shared *shared,
					       const char *nonce)
{
	struct upstream_run *run;

	if (!nonce)
		return NULL;
	run = g_hash_table_lookup(shared->runs, nonce);
	if (!run) {
		run = g_new0(struct upstream_run, 1);
		g_hash_table_insert(shared->runs, g_strdup(nonce), run);
	}
	return run;
}

bool upstream_is_cold(const struct upstream *upstream)
{
	return g_get_monotonic_time() < upstream->cold_until_us;
}

void upstream_start_cold(struct upstream *upstream)
{
	upstream->cold_until_us = g_get_monotonic_time() +
				  upstream->options.cold_ms * (gint64)1000;
}

static void job_free(void *data)
{
	struct upstream_job *job = data;

	if (job->timer)
		g_source_remove(job->timer);
	if (job->close_watch) {
		g_source_destroy(job->close_watch);
		g_source_unref(job->close_watch);
	}
	upstream_call_cancel(job);
	g_object_unref(job->message);
	g_free(job->nonce);
	g_free(job);
}

static guint in_flight(const struct upstream *upstream)
{
	return upstream->running->len + upstream->queue.length;
}

static bool consume_count(gint64 *count)
{
	if (!*count)
		return false;
	if (*count > 0)
		--*count;
	return true;
}

/*
 * Returns the first pending fault that affects an executed request and counts
 * it down, or UPSTREAM_FAULT_COUNT if there is none.
 */
static enum upstream_fault take_fault(struct upstream *upstream)
{
	int fault;

	for (fault = UPSTREAM_FAULT_TRUNCATE; fault < UPSTREAM_FAULT_SHED;
	     fault++)
		if (consume_count(&upstream->faults[fault]))
			return fault;
	return UPSTREAM_FAULT_COUNT;
}

/*
 * Draws a service time in microseconds from a lognormal distribution with the
 * configured mean, by the Box-Muller transform.
 */
static double draw_service_time_us(struct upstream *upstream,
				   bool new_connection)
{
	const struct upstream_options *options = &upstream->options;
	GRand *random = upstream->shared->random;
	double u = 1 - g_rand_double(random);
	double v = g_rand_double(random);
	double normal = sqrt(-2 * log(u)) * cos(2 * G_PI * v);
	double sigma = options->sigma;
	double time_us =
		options->mean_us * exp(sigma * normal - sigma * sigma / 2);

	if (upstream_is_cold(upstream))
		time_us *= options->cold_factor;
	if (g_get_monotonic_time() < upstream->slow_until_us)
		time_us *= upstream->slow_factor;
	if (new_connection)
		time_us += options->connect_us;
	return time_us;
}

static void start_job(struct upstream_job *job);

/*
 * Starts queued requests while slots are free, and refuses those whose deadline
 * has passed.
 */
static void run_queue(struct upstream *upstream)
{
	struct upstream_job *job;

	while (upstream->running->len < upstream->options.slots) {
		job = g_queue_pop_head(&upstream->queue);
		if (!job)
			return;
		if (job->deadline_us &&
		    g_get_monotonic_time() >= job->deadline_us) {
			upstream_refuse(upstream, job->message, "too late\n");
			soup_server_message_unpause(job->message);
			job_free(job);
			continue;
		}
		start_job(job);
	}
}

static void finish_job(struct upstream_job *job)
{
	struct upstream *upstream = job->upstream;

	g_ptr_array_remove_fast(upstream->running, job);
	run_queue(upstream);
}

/*
 * Sends a delayed answer. Jobs whose answer is late or never sent occupy a
 * connection but no slot.
 */
static gboolean on_delayed_answer(gpointer data)
{
	struct upstream_job *job = data;

	job->timer = 0;
	upstream_answer(job);
	g_ptr_array_remove_fast(job->upstream->unanswered, job);
	return G_SOURCE_REMOVE;
}

static void record_busy_time(struct upstream_job *job)
{
	job->upstream->oracle.busy_us +=
		g_get_monotonic_time() - job->started_us;
}

static gboolean on_service_done(gpointer data)
{
	struct upstream_job *job = data;
	struct upstream *upstream = job->upstream;
	guint index;

	job->timer = 0;
	record_busy_time(job);
	upstream->oracle.completed++;
	if (job->run)
		job->run->completed++;
	switch (job->fault) {
	case UPSTREAM_FAULT_NO_ANSWER:
	case UPSTREAM_FAULT_LATE_ANSWER:
		if (g_ptr_array_find(upstream->running, job, &index))
			g_ptr_array_steal_index_fast(upstream->running, index);
		g_ptr_array_add(upstream->unanswered, job);
		if (job->fault == UPSTREAM_FAULT_LATE_ANSWER)
			job->timer = g_timeout_add(upstream->answer_delay_ms,
						   on_delayed_answer, job);
		run_queue(upstream);
		return G_SOURCE_REMOVE;
	case UPSTREAM_FAULT_CRASH_AFTER:
		upstream_crash(upstream, upstream->options.fall_ms);
		return G_SOURCE_REMOVE;
	default:
		if (upstream->call_url) {
			upstream_call(job);
			return G_SOURCE_REMOVE;
		}
		upstream_answer(job);
		finish_job(job);
		return G_SOURCE_REMOVE;
	}
}

void upstream_call_done(struct upstream_job *job, guint status)
{
	if (status == SOUP_STATUS_OK) {
		upstream_answer(job);
	} else {
		upstream_add_state(job->upstream, job->message);
		tool_answer_text(job->message, status, "call failed\n");
		soup_server_message_unpause(job->message);
	}
	finish_job(job);
}

static void start_job(struct upstream_job *job)
{
	struct upstream *upstream = job->upstream;
	struct upstream_oracle *oracle = &upstream->oracle;
	double time_us = draw_service_time_us(upstream, job->new_connection);

	job->started = true;
	job->started_us = g_get_monotonic_time();
	job->fault = take_fault(upstream);
	oracle->started++;
	oracle->last_started_us = g_get_monotonic_time();
	if (job->run)
		job->run->started++;
	g_ptr_array_add(upstream->running, job);
	oracle->max_running = MAX(oracle->max_running, upstream->running->len);
	job->timer = g_timeout_add((guint)(time_us / 1000 + 0.5),
				   on_service_done, job);
	if (soup_message_headers_get_one(
		    soup_server_message_get_request_headers(job->message),
		    "X-Test-Crash"))
		upstream_crash(upstream, upstream->options.fall_ms);
}

/*
 * Cancels a request whose connection was closed by the client, and frees its
 * slot.
 */
static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	struct upstream_job *job = data;
	struct upstream *upstream = job->upstream;
	char byte;
	ssize_t got;

	got = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (got > 0)
		return G_SOURCE_REMOVE;
	tool_close_connection(job->message, false);
	if (g_queue_remove(&upstream->queue, job)) {
		job_free(job);
		return G_SOURCE_REMOVE;
	}
	if (g_ptr_array_remove_fast(upstream->unanswered, job))
		return G_SOURCE_REMOVE;
	record_busy_time(job);
	upstream->oracle.cancelled++;
	if (job->run)
		job->run->cancelled++;
	finish_job(job);
	return G_SOURCE_REMOVE;
}

static bool is_closed_by_peer(GSocket *socket)
{
	char byte;

	return g_socket_is_closed(socket) ||
	       !recv(g_socket_get_fd(socket), &byte, 1,
		     MSG_PEEK | MSG_DONTWAIT);
}

/*
 * libsoup 3.2 neither closes nor frees connections that the client has closed;
 * without this they would count against the limit.
 */
static void release_closed_sockets(GPtrArray *sockets)
{
	for (guint i = sockets->len; i > 0; i--) {
		GSocket *socket = sockets->pdata[i - 1];

		if (!is_closed_by_peer(socket))
			continue;
		g_socket_close(socket, NULL);
		g_ptr_array_remove_index_fast(sockets, i - 1);
	}
}

/* Returns whether this is the first request of its connection. */
static bool count_connection(struct upstream *upstream, GSocket *socket)
{
	static const char seen_key[] = "upstream-seen";

	if (g_object_get_data(G_OBJECT(socket), seen_key))
		return false;
	g_object_set_data(G_OBJECT(socket), seen_key, upstream);
	if (upstream->sockets->len >= upstream->options.connections / 2)
		release_closed_sockets(upstream->sockets);
	g_ptr_array_add(upstream->sockets, g_object_ref(socket));
	upstream->oracle.connections++;
	return true;
}

static struct upstream_job *job_new(struct upstream *upstream,
				    SoupServerMessage *message,
				    bool new_connection)
{
	struct upstream_job *job = g_new0(struct upstream_job, 1);
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	const char *deadline =
		soup_message_headers_get_one(headers, "X-Deadline-Ms");

	job->upstream = upstream;
	job->message = g_object_ref(message);
	job->nonce = g_strdup(soup_message_headers_get_one(headers, "X-Nonce"));
	job->run = find_or_create_run(upstream->shared, job->nonce);
	job->new_connection = new_connection;
	job->fault = UPSTREAM_FAULT_COUNT;
	if (deadline)
		job->deadline_us = g_get_monotonic_time() +
				   g_ascii_strtoll(deadline, NULL, 10) * 1000;
	job->close_watch =
		g_socket_create_source(soup_server_message_get_socket(message),
				       G_IO_IN, NULL);
	g_source_set_callback(job->close_watch, G_SOURCE_FUNC(on_readable), job,
			      NULL);
	g_source_attach(job->close_watch, NULL);
	soup_server_message_pause(message);
	return job;
}

/*
 * Rejects a request over the connection limit, and one that a fault, draining
 * or shedding affects. Returns whether it did.
 */
static bool reject_request(struct upstream *upstream,
			   SoupServerMessage *message)
{
	if (upstream->sockets->len > upstream->options.connections) {
		upstream->oracle.refused++;
		tool_close_connection(message, true);
		return true;
	}
	if (consume_count(&upstream->faults[UPSTREAM_FAULT_FAIL_FAST])) {
		upstream_add_state(upstream, message);
		tool_answer_text(message, 500, "failed\n");
		return true;
	}
	if (upstream->draining) {
		upstream_refuse(upstream, message, "draining\n");
		return true;
	}
	if (consume_count(&upstream->faults[UPSTREAM_FAULT_SHED]) ||
	    (upstream->options.shed &&
	     upstream->running->len >= upstream->options.slots)) {
		upstream_refuse(upstream, message, "busy\n");
		return true;
	}
	return false;
}

/*
 * Logs an overload crash to standard error: for how long the upstream had been
 * cold, and which requests were running.
 */
static void log_overload(const struct upstream *upstream,
			 const struct upstream_job *newest)
{
	gint64 cold_us = upstream->options.cold_ms * (gint64)1000;
	gint64 since_us =
		g_get_monotonic_time() - (upstream->cold_until_us - cold_us);
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < upstream->running->len; i++) {
		const struct upstream_job *job = upstream->running->pdata[i];

		g_string_append_printf(text, " %s",
				       job->nonce ? job->nonce : "-");
	}
	g_printerr("port %u crashed by overload, cold for %" G_GINT64_FORMAT
		   " us, at %" G_GINT64_FORMAT ": newest %s, running%s\n",
		   upstream->options.port, since_us, g_get_real_time(),
		   newest->nonce ? newest->nonce : "-", text->str);
	g_string_free(text, TRUE);
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	struct upstream *upstream = data;
	struct upstream_oracle *oracle = &upstream->oracle;
	bool new_connection =
		count_connection(upstream,
				 soup_server_message_get_socket(message));
	struct upstream_job *job;

	oracle->requests++;
	oracle->last_request_us = g_get_monotonic_time();
	if (reject_request(upstream, message))
		return;
	job = job_new(upstream, message, new_connection);
	if (upstream->running->len < upstream->options.slots)
		start_job(job);
	else
		g_queue_push_tail(&upstream->queue, job);
	oracle->max_in_flight = MAX(oracle->max_in_flight, in_flight(upstream));
	if (!upstream_is_cold(upstream))
		return;
	oracle->max_in_flight_cold =
		MAX(oracle->max_in_flight_cold, in_flight(upstream));
	if (in_flight(upstream) > upstream->options.cold_slots) {
		oracle->overload_crashes++;
		log_overload(upstream, job);
		upstream_crash(upstream, upstream->options.fall_ms);
	}
}

/* A probe in progress; its answer is delayed by options.probe_us. */
struct probe {
	struct upstream *upstream; /* borrowed */
	SoupServerMessage *message; /* owned reference */
};

static gboolean on_probe_served(gpointer data)
{
	struct probe *probe = data;
	struct upstream *upstream = probe->upstream;
	bool cold = upstream_is_cold(upstream) && !upstream->report_warm;
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "boot_id");
	json_builder_add_int_value(builder, upstream->boot_id);
	json_builder_set_member_name(builder, "state");
	json_builder_add_string_value(builder, upstream->draining ? "draining" :
					       cold		  ? "cold" :
								    "warm");
	json_builder_set_member_name(builder, "busy");
	json_builder_add_int_value(builder, in_flight(upstream));
	json_builder_set_member_name(builder, "slots");
	json_builder_add_int_value(builder, upstream->options.slots);
	json_builder_end_object(builder);
	upstream_add_state(upstream, probe->message);
	tool_answer_json(probe->message, 200, json_builder_get_root(builder));
	soup_server_message_unpause(probe->message);
	g_object_unref(builder);
	g_object_unref(probe->message);
	g_free(probe);
	return G_SOURCE_REMOVE;
}

static void on_probe(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	struct upstream *upstream = data;
	struct probe *probe = g_new0(struct probe, 1);

	count_connection(upstream, soup_server_message_get_socket(message));
	upstream->oracle.probes++;
	upstream->oracle.probe_us += upstream->options.probe_us;
	probe->upstream = upstream;
	probe->message = g_object_ref(message);
	soup_server_message_pause(message);
	g_timeout_add((upstream->options.probe_us + 500) / 1000,
		      on_probe_served, probe);
}

static bool open_server(struct upstream *upstream, GError **error)
{
	char *address = g_strdup_printf("%s:%u", upstream->options.host,
					upstream->options.port);
	SoupServer *server = soup_server_new(NULL, NULL);
	bool ok;

	soup_server_add_handler(server, NULL, on_request, upstream, NULL);
	soup_server_add_handler(server, "/load", on_probe, upstream, NULL);
	ok = tool_listen(server, address, &upstream->options.port, error);
	if (ok)
		upstream->server = server;
	else
		g_object_unref(server);
	upstream->boot_id = g_rand_int(upstream->shared->random) | 1;
	g_free(address);
	return ok;
}

static void abort_jobs(GPtrArray *jobs)
{
	struct upstream_job *job;
	guint i;

	for (i = 0; i < jobs->len; i++) {
		job = jobs->pdata[i];
		tool_close_connection(job->message, true);
	}
	g_ptr_array_set_size(jobs, 0);
}

/*
 * Aborts all jobs without an answer and closes the listener. Jobs that had
 * started count as started, but as neither completed nor cancelled.
 */
static void close_server(struct upstream *upstream)
{
	struct upstream_job *job;

	abort_jobs(upstream->running);
	abort_jobs(upstream->unanswered);
	while (!g_queue_is_empty(&upstream->queue)) {
		job = g_queue_pop_head(&upstream->queue);
		tool_close_connection(job->message, true);
		job_free(job);
	}
	if (upstream->server)
		soup_server_disconnect(upstream->server);
	g_clear_object(&upstream->server);
}

static gboolean on_restart(gpointer data)
{
	struct upstream *upstream = data;
	GError *error = NULL;

	if (!open_server(upstream, &error)) {
		g_warning("cannot restart on port %u: %s",
			  upstream->options.port, error->message);
		g_error_free(error);
		return G_SOURCE_CONTINUE;
	}
	upstream->restart_timer = 0;
	upstream_start_cold(upstream);
	return G_SOURCE_REMOVE;
}

static gboolean on_crash(gpointer data)
{
	struct upstream *upstream = data;

	upstream->crash_source = 0;
	upstream->oracle.crashes++;
	close_server(upstream);
	upstream->restart_timer =
		g_timeout_add(upstream->refuse_ms, on_restart, upstream);
	return G_SOURCE_REMOVE;
}

void upstream_crash(struct upstream *upstream, guint refuse_ms)
{
	if (upstream->crash_source || upstream->restart_timer)
		return;
	upstream->refuse_ms = refuse_ms;
	upstream->crash_source =
		g_idle_add_full(G_PRIORITY_HIGH, on_crash, upstream, NULL);
}

struct upstream *upstream_new(const struct upstream_options *options,
			      struct upstream_shared *shared, GError **error)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->options = *options;
	upstream->shared = shared;
	upstream->slow_factor = 1;
	upstream->sockets = g_ptr_array_new_with_free_func(g_object_unref);
	upstream->running = g_ptr_array_new_with_free_func(job_free);
	upstream->unanswered = g_ptr_array_new_with_free_func(job_free);
	g_queue_init(&upstream->queue);
	if (!open_server(upstream, error)) {
		upstream_free(upstream);
		return NULL;
	}
	return upstream;
}

void upstream_free(struct upstream *upstream)
{
	if (upstream->restart_timer)
		g_source_remove(upstream->restart_timer);
	if (upstream->crash_source)
		g_source_remove(upstream->crash_source);
	close_server(upstream);
	g_ptr_array_unref(upstream->running);
	g_ptr_array_unref(upstream->sockets);
	g_ptr_array_unref(upstream->unanswered);
	g_clear_object(&upstream->session);
	g_free(upstream->call_url);
	g_free(upstream);
}

void upstream_apply_faults(struct upstream *upstream, JsonObject *body)
{
	gint64 now_us = g_get_monotonic_time();
	int i;

	if (tool_json_int(body, "clear", 0)) {
		memset(upstream->faults, 0, sizeof(upstream->faults));
		upstream->slow_until_us = 0;
		upstream->draining = false;
		upstream->report_warm = false;
	}
	for (i = 0; i < UPSTREAM_FAULT_COUNT; i++)
		upstream->faults[i] = tool_json_int(body, fault_names[i],
						    upstream->faults[i]);
	upstream->answer_delay_ms =
		tool_json_int(body, "late_ms", upstream->answer_delay_ms);
	upstream->draining =
		tool_json_int(body, "draining", upstream->draining) != 0;
	upstream->report_warm =
		tool_json_int(body, "mislead", upstream->report_warm) != 0;
	upstream->slow_factor =
		tool_json_double(body, "slow_factor", upstream->slow_factor);
	if (json_object_has_member(body, "slow_ms"))
		upstream->slow_until_us =
			now_us + tool_json_int(body, "slow_ms", 0) * 1000;
	if (tool_json_int(body, "cold", 0))
		upstream_start_cold(upstream);
	if (json_object_has_member(body, "calls")) {
		g_free(upstream->call_url);
		upstream->call_url =
			g_strdup(tool_json_string(body, "calls", NULL));
	}
	if (json_object_has_member(body, "crash_ms"))
		upstream_crash(upstream, tool_json_int(body, "crash_ms", 0));
}

static void add_int(JsonBuilder *builder, const char *name, gint64 value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

void upstream_build_stats(struct upstream *upstream, JsonBuilder *builder)
{
	const struct upstream_oracle *oracle = &upstream->oracle;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "host");
	json_builder_add_string_value(builder, upstream->options.host);
	add_int(builder, "port", upstream->options.port);
	add_int(builder, "slots", upstream->options.slots);
	add_int(builder, "cold_slots", upstream->options.cold_slots);
	add_int(builder, "cold", upstream_is_cold(upstream));
	add_int(builder, "requests", oracle->requests);
	add_int(builder, "started", oracle->started);
	add_int(builder, "completed", oracle->completed);
	add_int(builder, "cancelled", oracle->cancelled);
	add_int(builder, "refused", oracle->refused);
	add_int(builder, "fell_over", oracle->overload_crashes);
	add_int(builder, "crashes", oracle->crashes);
	add_int(builder, "connections", oracle->connections);
	add_int(builder, "probes", oracle->probes);
	add_int(builder, "probe_us", oracle->probe_us);
	add_int(builder, "busy_us", oracle->busy_us);
	add_int(builder, "max_running", oracle->max_running);
	add_int(builder, "max_inside", oracle->max_in_flight);
	add_int(builder, "max_cold", oracle->max_in_flight_cold);
	add_int(builder, "last_new_us", oracle->last_request_us);
	add_int(builder, "last_started_us", oracle->last_started_us);
	json_builder_end_object(builder);
}
