/*
 * Lifecycle of a caller's request: attempts, validation of the response,
 * retries.
 *
 * A keyed request uses the same key in all attempts, by which the entries
 * recognise a retry. After a lost attempt or an unknown outcome it is retried
 * alternately through the same entry and another one.
 */
#include "load/load_internal.h"

#include <string.h>

#define LOST_RETRY_DELAY_US (20 * AUB_MS)
/* Used if the response names no delay. */
#define NOT_RUN_RETRY_DELAY_US (100 * AUB_MS)
/* After so many "unknown" responses the outcome is final. */
#define UNKNOWN_ANSWERS_MAX 3
#define SAMPLES_MAX 10
/* Added to the deadline, so that the entry's own response can arrive. */
#define DEADLINE_GRACE_US (300 * AUB_MS)

static const struct load_service *pick_service(struct load *load)
{
	const struct load_service *service = load->options.services;
	guint position = g_rand_int_range(load->random, 0, load->total_weight);

	while (position >= service->weight)
		position -= service++->weight;
	return service;
}

static char *make_body(const struct load_request *request)
{
	GString *body = g_string_new(NULL);

	g_string_printf(body, "reserve %s\n", request->nonce);
	while (body->len < request->load->options.body_bytes)
		g_string_append(body, "payload ");
	return g_string_free(body, FALSE);
}

struct load_request *load_request_new(struct load *load, guint number)
{
	struct load_request *request = g_new0(struct load_request, 1);

	request->load = load;
	request->service = pick_service(load);
	request->caller = load->callers->pdata[number % load->options.callers];
	request->nonce =
		g_strdup_printf("%s%c-%u-%u",
				load->options.prefix ? load->options.prefix :
						       "",
				request->service->keyed ? 'k' : 'g',
				load->options.seed, number);
	if (request->service->keyed)
		request->body = make_body(request);
	request->arrived_us = g_get_monotonic_time();
	request->deadline_us =
		request->arrived_us + load->options.deadline_ms * AUB_MS;
	return request;
}

void load_request_free(void *data)
{
	struct load_request *request = data;

	if (request->cancellable)
		g_cancellable_cancel(request->cancellable);
	g_clear_object(&request->cancellable);
	g_clear_object(&request->message);
	aub_timer_cancel(request->load->timers, request->timer);
	g_free(request->nonce);
	g_free(request->key);
	g_free(request->body);
	g_free(request->entry);
	g_free(request->reason);
	g_free(request);
}

static void finish(struct load_request *request, enum load_outcome outcome)
{
	aub_timer_cancel(request->load->timers, request->timer);
	request->timer = 0;
	load_lookup_remove(load_request_lookup(request), request);
	request->outcome = outcome;
	request->latency_us = g_get_monotonic_time() - request->arrived_us;
	request->load->pending--;
}

static void add_sample(struct load_request *request, const char *description)
{
	GPtrArray *samples = request->load->samples;

	if (samples->len < SAMPLES_MAX)
		g_ptr_array_add(
			samples,
			g_strdup_printf("%s: %s (status %u, %u attempts, "
					"%u lost, last through %s)",
					request->nonce, description,
					request->status, request->attempts,
					request->connection_failures,
					request->entry ? request->entry : "-"));
}

static void finish_invalid(struct load_request *request,
			   const char *description)
{
	add_sample(request, description);
	finish(request, LOAD_INVALID);
}

static void finish_error(struct load_request *request, const char *description)
{
	add_sample(request, description);
	finish(request, LOAD_ERROR);
}

static void on_retry(void *context, gint64 now_us)
{
	struct load_request *request = context;

	request->timer = 0;
	load_lookup_resolve(load_request_lookup(request), request);
}

/*
 * Schedules another attempt after `delay_us`. Returns false if retries are off
 * or the deadline would pass before it.
 */
static bool schedule_retry(struct load_request *request, gint64 delay_us)
{
	gint64 at_us = g_get_monotonic_time() + delay_us;

	if (!request->load->options.retry || at_us >= request->deadline_us)
		return false;
	request->load->retries++;
	request->timer = aub_timer_at(request->load->timers, "again", at_us,
				      on_retry, request);
	return true;
}

static const char *response_header(SoupMessage *message, const char *name)
{
	return soup_message_headers_get_one(soup_message_get_response_headers(
						    message),
					    name);
}

static bool checksum_matches(const char *expected, const void *data,
			     gsize length)
{
	char *sum =
		g_compute_checksum_for_data(G_CHECKSUM_SHA256, data, length);
	bool same = expected && !strcmp(sum, expected);

	g_free(sum);
	return same;
}

/*
 * Returns what is wrong with a response, or NULL if it is complete and the
 * request's own.
 */
static const char *find_response_error(const struct load_request *request,
				       SoupMessage *message, GBytes *body)
{
	const char *nonce = response_header(message, "X-Nonce");
	const char *sent = request->body ? request->body : "";
	gsize length;
	const char *data = g_bytes_get_data(body, &length);
	char *line = g_strdup_printf("nonce=%s\n", request->nonce);
	bool own = length >= strlen(line) && !memcmp(data, line, strlen(line));

	g_free(line);
	if (!nonce || strcmp(nonce, request->nonce) != 0)
		return "nonce header of another request";
	if (!own)
		return "body of another request";
	if (!checksum_matches(response_header(message, "X-Body-Sha256"), data,
			      length))
		return "response body does not match its checksum";
	if (!checksum_matches(response_header(message, "X-Request-Sha256"),
			      sent, strlen(sent)))
		return "the upstream received a different request body";
	return NULL;
}

static void handle_run(struct load_request *request, SoupMessage *message,
		       GBytes *body)
{
	const char *error = NULL;

	if (request->status < 300)
		error = find_response_error(request, message, body);
	if (error)
		finish_invalid(request, error);
	else
		finish(request, LOAD_RUN);
}

static gint64 retry_after_us(SoupMessage *message)
{
	const char *text =
		response_header(message, "Auburnstile-Retry-After-Ms");

	if (text)
		return MAX(g_ascii_strtoll(text, NULL, 10), 1) * AUB_MS;
	text = response_header(message, "Retry-After");
	if (text)
		return MAX(g_ascii_strtoll(text, NULL, 10), 1) * AUB_SECOND;
	return NOT_RUN_RETRY_DELAY_US;
}

static void handle_not_run(struct load_request *request, SoupMessage *message)
{
	bool final = request->status < 500 && request->status != 429;

	if (!final && schedule_retry(request, retry_after_us(message)))
		return;
	/*
	 * Without a key, "not run" refers to the last attempt only: if an
	 * earlier one was lost, the outcome of the request is unknown.
	 */
	finish(request, request->maybe_executed && !request->key ?
				LOAD_UNKNOWN :
				LOAD_NOT_RUN);
}

static void handle_unknown(struct load_request *request)
{
	request->maybe_executed = true;
	if (++request->unknown_answers < UNKNOWN_ANSWERS_MAX &&
	    schedule_retry(request, LOST_RETRY_DELAY_US))
		return;
	finish(request, LOAD_UNKNOWN);
}

static void handle_lost_attempt(struct load_request *request,
				const GError *error)
{
	bool refused = g_error_matches(error, G_IO_ERROR,
				       G_IO_ERROR_CONNECTION_REFUSED);

	load_lookup_invalidate(load_request_lookup(request));
	request->connection_failures++;
	if (!refused)
		request->maybe_executed = true;
	/*
	 * No request was ever sent with this key, so the next attempt may use
	 * a new key under a new grant.
	 */
	if (refused && !request->maybe_executed)
		g_clear_pointer(&request->key, g_free);
	if (schedule_retry(request, LOST_RETRY_DELAY_US))
		return;
	finish_error(request, error->message);
}

static void count_reason(struct load_request *request, const char *outcome)
{
	GHashTable *reasons = request->load->reasons;
	char *name = g_strdup_printf("%s/%s", outcome,
				     request->reason ? request->reason : "-");
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(reasons, name));

	g_hash_table_replace(reasons, name, GUINT_TO_POINTER(count + 1));
}

static void handle_response(struct load_request *request, SoupMessage *message,
			    GBytes *body)
{
	const char *outcome = response_header(message, "Auburnstile-Outcome");

	g_free(request->reason);
	request->reason =
		g_strdup(response_header(message, "Auburnstile-Reason"));
	request->status = soup_message_get_status(message);
	if (response_header(message, "Auburnstile-Addresses-Stale"))
		load_lookup_invalidate(load_request_lookup(request));
	if (outcome && strcmp(outcome, "run") != 0)
		count_reason(request, outcome);
	if (!g_strcmp0(outcome, "run"))
		handle_run(request, message, body);
	else if (!g_strcmp0(outcome, "not-run"))
		handle_not_run(request, message);
	else if (!g_strcmp0(outcome, "unknown"))
		handle_unknown(request);
	else
		finish_invalid(request,
			       "unknown or missing Auburnstile-Outcome");
}

/*
 * A request waits for this attempt only while its cancellable is that of the
 * attempt.
 */
struct attempt {
	struct load_request *request;
	GCancellable *cancellable; /* owned reference */
	SoupMessage *message; /* owned reference */
};

static void on_attempt_done(GObject *source, GAsyncResult *result,
			    gpointer data)
{
	struct attempt *attempt = data;
	struct load_request *request = attempt->request;
	GError *error = NULL;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 result, &error);

	if (request->cancellable == attempt->cancellable) {
		g_clear_object(&request->cancellable);
		g_clear_object(&request->message);
		aub_timer_cancel(request->load->timers, request->timer);
		request->timer = 0;
		if (error)
			handle_lost_attempt(request, error);
		else
			handle_response(request, attempt->message, body);
	}
	if (body)
		g_bytes_unref(body);
	g_clear_error(&error);
	g_object_unref(attempt->message);
	g_object_unref(attempt->cancellable);
	g_free(attempt);
}

static void on_attempt_timeout(void *context, gint64 now_us)
{
	struct load_request *request = context;

	request->timer = 0;
	request->timed_out = true;
	g_cancellable_cancel(request->cancellable);
}

/*
 * Returns the entry for the next attempt: the owner first. If an earlier
 * attempt may have been executed, retries alternate between the same entry and
 * the next one. A key that was never sent is sent only to the entry named by
 * its grant.
 */
static const char *pick_entry(const struct load_request *request)
{
	const GPtrArray *addresses = load_request_lookup(request)->addresses;
	guint position = request->maybe_executed ? request->attempts / 2 : 0;

	if (!request->service->keyed && !request->maybe_executed)
		position = request->connection_failures;

	return addresses->pdata[position % addresses->len];
}

static void set_headers(struct load_request *request, gint64 remaining_us)
{
	SoupMessageHeaders *headers =
		soup_message_get_request_headers(request->message);
	char deadline[24];

	g_snprintf(deadline, sizeof(deadline), "%" G_GINT64_FORMAT,
		   remaining_us / AUB_MS);
	soup_message_headers_replace(headers, "X-Nonce", request->nonce);
	soup_message_headers_replace(headers, "Auburnstile-Deadline-Ms",
				     deadline);
	if (request->key)
		soup_message_headers_replace(headers, "Auburnstile-Key",
					     request->key);
}

static void make_message(struct load_request *request)
{
	char *url = g_strdup_printf("http://%s%s?n=%s",
				    load_connect_address(request->load,
							 request->entry),
				    request->service->path, request->nonce);
	GBytes *body;

	request->message =
		soup_message_new(request->body ? "POST" : "GET", url);
	if (request->body) {
		body = g_bytes_new(request->body, strlen(request->body));
		soup_message_set_request_body_from_bytes(request->message,
							 "text/plain", body);
		g_bytes_unref(body);
	}
	if (request->maybe_executed)
		soup_message_add_flags(request->message,
				       SOUP_MESSAGE_NEW_CONNECTION);
	g_free(url);
}

static gint64 attempt_timeout_us(const struct load_request *request,
				 gint64 remaining_us)
{
	guint attempt_timeout_ms = request->load->options.attempt_timeout_ms;

	remaining_us += DEADLINE_GRACE_US;
	return attempt_timeout_ms ?
		       MIN(remaining_us, attempt_timeout_ms * AUB_MS) :
		       remaining_us;
}

void load_request_send(struct load_request *request)
{
	struct load *load = request->load;
	gint64 now_us = g_get_monotonic_time();
	gint64 remaining_us = request->deadline_us - now_us;
	struct attempt *attempt;

	if (remaining_us < AUB_MS) {
		finish_error(request,
			     "deadline passed before the next attempt");
		return;
	}
	if (request->service->keyed && !request->key)
		request->key = g_strconcat(load_request_lookup(request)->grant,
					   "/", request->nonce, NULL);
	g_free(request->entry);
	request->entry = g_strdup(pick_entry(request));
	request->attempts++;
	make_message(request);
	set_headers(request, remaining_us);
	request->cancellable = g_cancellable_new();
	attempt = g_new0(struct attempt, 1);
	attempt->request = request;
	attempt->message = g_object_ref(request->message);
	attempt->cancellable = g_object_ref(request->cancellable);
	aub_timer_cancel(load->timers, request->timer);
	request->timer =
		aub_timer_at(load->timers, "attempt timeout",
			     now_us + attempt_timeout_us(request, remaining_us),
			     on_attempt_timeout, request);
	soup_session_send_and_read_async(request->caller->session,
					 request->message, G_PRIORITY_DEFAULT,
					 request->cancellable, on_attempt_done,
					 attempt);
}

static void on_lookup_deadline(void *context, gint64 now_us)
{
	struct load_request *request = context;

	request->timer = 0;
	finish_error(request, "deadline passed during the address lookup");
}

void load_request_start(struct load_request *request)
{
	struct load *load = request->load;

	request->timer =
		aub_timer_at(load->timers, "lookup deadline",
			     request->deadline_us, on_lookup_deadline, request);
	load_lookup_resolve(load_request_lookup(request), request);
}
