/*
 * Callers of the soak test that send requests ahead, and uploads, on
 * connections that they keep; upstreams that say when to come back; and
 * time-outs below the time that a request may wait for a slot.
 */
#include "soak.h"

#include <auburnstile/internal/tcp.h>

#include <string.h>

#define CALLERS 10
#define AHEAD_MAX 6 /* requests of a burst */
#define THINK_MAX_MS 60
/* Below, at and above what a gateway keeps of what is sent ahead. */
#define BODY_SIZES                \
	{                         \
		0, 0, 1000, 40000 \
	}
#define UPLOAD_BYTES 100000
#define UPLOAD_PAUSE_MAX_MS 30 /* between the halves of an upload */
/*
 * The oldest request has its deadline to be answered, and half a second; those
 * behind it may not have been read.
 */
#define ANSWER_MAX_US ((CALL_DEADLINE_MS + 500) * AUB_MS)
/* After which a gateway that was paused, stopped or started is judged. */
#define UNDISTURBED_US (3 * AUB_SECOND)
#define TIMEOUT_SHORT_MS 150
#define TIMEOUT_USUAL_MS 1500
#define REFUSAL_STEPS 8 /* mean number of steps between two refusals */
#define PHASE_MAX_MS 1500 /* of upstreams that refuse with Retry-After */

struct ahead_caller {
	struct soak_ahead *ahead;
	struct aub_http_stream *stream;
	struct gateway *gateway;
	GQueue ids; /* of char *: requests without an answer, oldest first */
	gint64 progress_us; /* of the last request or answer */
	gint64 next_us; /* of the next burst, or of the rest of an upload */
	bool half_sent; /* of an upload */
	bool answered; /* a request on this connection has been answered */
	bool end_announced; /* by an answer: what is behind it was not read */
	bool is_own_answer;
	guint status;
	gsize body_bytes;
};

struct soak_ahead {
	struct soak *soak;
	GRand *random;
	struct ahead_caller callers[CALLERS];
	bool refuses[UPSTREAM_COUNT];
	gint64 phase_us; /* end of the phase in which these refuse */
	guint bursts;
	guint answers;
	guint served;
};

static void disconnect(struct ahead_caller *caller)
{
	aub_http_stream_free(caller->stream);
	caller->stream = NULL;
	g_queue_clear_full(&caller->ids, g_free);
	caller->half_sent = false;
	caller->answered = false;
	caller->end_announced = false;
}

/* Returns whether faults of the gateway itself explain nothing. */
static bool is_undisturbed(const struct ahead_caller *caller)
{
	const struct gateway *gateway = caller->gateway;

	return !gateway->restart_us && !gateway->resume_us &&
	       soak_now(gateway->soak) - gateway->disturbed_us > UNDISTURBED_US;
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct ahead_caller *caller = context;
	const char *id = aub_http_head_find(head, "Request-Id");

	caller->status = head->status;
	caller->end_announced = !head->keep_alive;
	caller->body_bytes = 0;
	caller->is_own_answer = !g_strcmp0(id, g_queue_peek_head(&caller->ids));
}

static void on_body(const char *data, gsize length, void *context)
{
	((struct ahead_caller *)context)->body_bytes += length;
}

static void on_complete(void *context)
{
	struct ahead_caller *caller = context;
	struct soak *soak = caller->ahead->soak;
	char *id = g_queue_pop_head(&caller->ids);

	caller->ahead->answers++;
	caller->ahead->served += caller->status == 200;
	caller->answered = true;
	caller->progress_us = soak_now(soak);
	if (!id || !caller->is_own_answer)
		soak_report_violation(soak, "MIXED (answer out of its place)",
				      id ? id : "-");
	else if (caller->status == 200 && caller->body_bytes != ANSWER_BYTES)
		soak_report_violation(soak, "MIXED (incomplete answer)", id);
	else if (caller->status / 100 == 4 && caller->status != 429)
		soak_report_violation(soak, "DENIED", id);
	g_free(id);
	aub_http_stream_resume(caller->stream);
}

static void on_ended(enum aub_stream_end_reason end, bool midway, void *context)
{
	struct ahead_caller *caller = context;

	if (caller->answered && !caller->end_announced && caller->ids.length &&
	    is_undisturbed(caller))
		soak_report_violation(caller->ahead->soak,
				      "LOST (connection closed)",
				      g_queue_peek_head(&caller->ids));
	disconnect(caller);
}

static const struct aub_http_callbacks callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static bool connect_caller(struct ahead_caller *caller)
{
	struct soak *soak = caller->ahead->soak;
	int fd;

	caller->gateway =
		&soak->gateways[g_rand_int_range(caller->ahead->random, 0,
						 (gint32)soak->gateway_count)];
	fd = aub_tcp_connect(caller->gateway->callers_address, NULL);
	if (fd < 0)
		return false;
	caller->stream = aub_http_stream_new(soak->poller, fd, HTTP_RESPONSE,
					     true, 65536, &callbacks, caller);
	return true;
}

static void write_body(struct ahead_caller *caller, gsize bytes)
{
	char *body = g_malloc(bytes + 1);

	memset(body, 'b', bytes);
	aub_http_stream_write(caller->stream, body, bytes);
	g_free(body);
}

/* Sends the head, and the body but for `later_bytes` of it. */
static void send_request(struct ahead_caller *caller, bool at_most_once,
			 gsize body_bytes, gsize later_bytes)
{
	struct soak *soak = caller->ahead->soak;
	struct request *request = g_new0(struct request, 1);
	char *id = g_strdup_printf("%x", ++soak->last_request_id);
	char *head = g_strdup_printf(
		"POST /%s/%s HTTP/1.1\r\nHost: site\r\nRequest-Id: %s\r\n"
		"Deadline-Remaining-Ms: %d\r\nContent-Length: %zu\r\n\r\n",
		at_most_once ? "once" : "safe", id, id, CALL_DEADLINE_MS,
		body_bytes);

	request->at_most_once = at_most_once;
	request->gateway = caller->gateway->number;
	request->sent_us = soak_now(soak);
	if (soak->refusals)
		soak_refusals_on_sent(soak->refusals);
	g_hash_table_insert(soak->requests, g_strdup(id), request);
	g_queue_push_tail(&caller->ids, id);
	aub_http_stream_write(caller->stream, head, strlen(head));
	write_body(caller, body_bytes - later_bytes);
	caller->progress_us = soak_now(soak);
	g_free(head);
}

static gint64 random_time_us(const struct soak_ahead *ahead, guint max_ms)
{
	return soak_now(ahead->soak) +
	       g_rand_int_range(ahead->random, 1, (gint32)max_ms) * AUB_MS;
}

static void send_burst(struct ahead_caller *caller)
{
	static const gsize sizes[] = BODY_SIZES;
	struct soak_ahead *ahead = caller->ahead;
	guint count = (guint)g_rand_int_range(ahead->random, 0, AHEAD_MAX + 1);

	ahead->bursts++;
	if (!count) {
		send_request(caller, true, UPLOAD_BYTES, UPLOAD_BYTES / 2);
		caller->half_sent = true;
		caller->next_us = random_time_us(ahead, UPLOAD_PAUSE_MAX_MS);
	}
	for (guint i = 0; i < count; i++)
		send_request(caller, false,
			     sizes[g_rand_int_range(ahead->random, 0,
						    G_N_ELEMENTS(sizes))],
			     0);
	aub_http_stream_flush(caller->stream);
}

static void caller_step(struct ahead_caller *caller, gint64 now_us)
{
	struct soak *soak = caller->ahead->soak;

	if (caller->half_sent && caller->next_us <= now_us) {
		caller->half_sent = false;
		write_body(caller, UPLOAD_BYTES / 2);
		aub_http_stream_flush(caller->stream);
		return;
	}
	if (caller->ids.length) {
		if (now_us - caller->progress_us <= ANSWER_MAX_US)
			return;
		if (is_undisturbed(caller))
			soak_report_violation(
				soak, "CONFIG (no answer at the deadline)",
				g_queue_peek_head(&caller->ids));
		disconnect(caller);
	}
	if (now_us >= soak->faults_end_us) {
		disconnect(caller);
		return;
	}
	if (caller->next_us > now_us)
		return;
	caller->next_us = random_time_us(caller->ahead, THINK_MAX_MS);
	if (caller->stream || connect_caller(caller))
		send_burst(caller);
}

static void begin_phase(struct soak_ahead *ahead)
{
	struct soak *soak = ahead->soak;
	bool refuse = soak_now(soak) < soak->faults_end_us &&
		      g_rand_boolean(ahead->random);

	ahead->phase_us = random_time_us(ahead, PHASE_MAX_MS);
	for (guint i = 0; i < UPSTREAM_COUNT; i++) {
		ahead->refuses[i] = refuse && g_rand_boolean(ahead->random);
		platform_upstream_set_retry_after(soak->upstreams[i].server,
						  ahead->refuses[i] ? "0.2" :
								      NULL);
	}
}

/* In each other phase, half of the upstreams refuse a part of the requests. */
static void step_phase(struct soak_ahead *ahead, gint64 now_us)
{
	if (now_us >= ahead->phase_us)
		begin_phase(ahead);
	for (guint i = 0; i < UPSTREAM_COUNT; i++)
		if (ahead->refuses[i] &&
		    !g_rand_int_range(ahead->random, 0, REFUSAL_STEPS))
			platform_upstream_set_next_answer(
				ahead->soak->upstreams[i].server,
				PLATFORM_ANSWER_OVERLOADED);
}

struct soak_ahead *soak_ahead_new(struct soak *soak, guint32 seed)
{
	struct soak_ahead *ahead = g_new0(struct soak_ahead, 1);

	ahead->soak = soak;
	ahead->random = g_rand_new_with_seed(seed + 5);
	for (guint i = 0; i < CALLERS; i++) {
		ahead->callers[i].ahead = ahead;
		ahead->callers[i].next_us = soak_now(soak) + AUB_SECOND;
		g_queue_init(&ahead->callers[i].ids);
	}
	return ahead;
}

void soak_ahead_free(struct soak_ahead *ahead)
{
	if (!ahead)
		return;
	for (guint i = 0; i < CALLERS; i++)
		disconnect(&ahead->callers[i]);
	g_rand_free(ahead->random);
	g_free(ahead);
}

void soak_ahead_step(struct soak_ahead *ahead, gint64 now_us)
{
	step_phase(ahead, now_us);
	for (guint i = 0; i < CALLERS; i++)
		caller_step(&ahead->callers[i], now_us);
}

guint soak_ahead_timeout_ms(struct soak_ahead *ahead)
{
	return g_rand_boolean(ahead->random) ? TIMEOUT_SHORT_MS :
					       TIMEOUT_USUAL_MS;
}

void soak_ahead_report(const struct soak_ahead *ahead)
{
	g_print("ahead: %u bursts, %u answers, %u served\n", ahead->bursts,
		ahead->answers, ahead->served);
}
