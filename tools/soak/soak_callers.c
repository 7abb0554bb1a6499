/*
 * The soak's callers, and what they check of their answers.
 */
#include "soak.h"

#include <auburnstile/internal/tcp.h>

#include <string.h>

void soak_caller_hang_up(struct caller *caller)
{
	aub_http_stream_free(caller->stream);
	caller->stream = NULL;
}

static void call_end(struct caller *caller, bool served)
{
	struct soak *soak = caller->soak;
	gint64 now = soak_now(soak);

	soak->calls++;
	soak->served += served;
	if (now > soak->calm_us + SETTLED_MS * AUB_MS) {
		soak->late_calls++;
		soak->late_served += served;
		if (!served)
			g_print("unserved: %u from g%u: %s\n", caller->status,
				caller->gateway->number, caller->text);
	}
	caller->begun_us = 0;
	caller->next_us = soak_later(soak, 1, 2 * THINK_MS);
	g_clear_pointer(&caller->id, g_free);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct caller *caller = context;
	const char *id = aub_http_head_find(head, "Request-Id");

	caller->status = head->status;
	caller->body = 0;
	caller->mine = caller->id && id && !strcmp(id, caller->id);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct caller *caller = context;

	if (!caller->body)
		g_strlcpy(caller->text, data,
			  MIN(length + 1, sizeof(caller->text)));
	caller->body += length;
}

static void check_answer(struct caller *caller)
{
	struct soak *soak = caller->soak;
	struct request *request =
		g_hash_table_lookup(soak->requests, caller->id);

	if (!caller->mine)
		soak_broken(soak, "MIXED (another's answer)", caller->id);
	if (caller->status == 200 && caller->body != BODY_BYTES)
		soak_broken(soak, "MIXED (not whole)", caller->id);
	if (caller->status / 100 == 4 && caller->status != 408 &&
	    caller->status != 421 && caller->status != 429)
		soak_broken(soak, "DENIED", caller->id);
	if (caller->status == 503) {
		request->refused = request->once;
		if (request->once && request->runs)
			soak_broken(soak, "REFUSED (it had run)", caller->id);
	}
}

static void on_complete(void *context)
{
	struct caller *caller = context;

	if (!caller->begun_us) {
		soak_broken(caller->soak, "MIXED (nobody asked)", "-");
		return;
	}
	check_answer(caller);
	call_end(caller, caller->status == 200);
	aub_http_stream_resume(caller->stream);
}

static void on_ended(enum aub_stream_end_reason end, bool midway, void *context)
{
	struct caller *caller = context;

	soak_caller_hang_up(caller);
	if (caller->begun_us)
		call_end(caller, false);
}

static const struct aub_http_callbacks caller_callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static bool caller_connect(struct caller *caller)
{
	struct soak *soak = caller->soak;
	int fd;

	caller->gateway =
		&soak->gateways[g_rand_int_range(soak->random, 0, GATEWAYS)];
	fd = aub_tcp_connect(caller->gateway->callers, NULL);
	if (fd < 0)
		return false;
	caller->stream =
		aub_http_stream_new(soak->poller, fd, HTTP_RESPONSE, true,
				    65536, &caller_callbacks, caller);
	return true;
}

static void call_begin(struct caller *caller)
{
	struct soak *soak = caller->soak;
	struct request *request = g_new0(struct request, 1);
	char *text;

	request->once = g_rand_boolean(soak->random);
	caller->id = g_strdup_printf("%x", ++soak->serial);
	caller->begun_us = soak_now(soak);
	caller->status = 0;
	g_hash_table_insert(soak->requests, g_strdup(caller->id), request);
	text = g_strdup_printf("%s /%s/%s HTTP/1.1\r\nHost: site\r\n"
			       "Request-Id: %s\r\nDeadline-Remaining-Ms: %d\r\n"
			       "%s\r\n",
			       request->once ? "POST" : "GET",
			       request->once ? "once" : "safe", caller->id,
			       caller->id, CALL_MS,
			       request->once ? "Content-Length: 0\r\n" : "");
	aub_http_stream_write(caller->stream, text, strlen(text));
	aub_http_stream_flush(caller->stream);
	g_free(text);
}

void soak_caller_turn(struct caller *caller, gint64 now_us)
{
	if (caller->begun_us) {
		if (now_us - caller->begun_us > CALL_MS * AUB_MS) {
			soak_caller_hang_up(caller);
			call_end(caller, false);
		}
		return;
	}
	if (caller->next_us > now_us)
		return;
	if (!caller->stream && !caller_connect(caller))
		return;
	call_begin(caller);
}
