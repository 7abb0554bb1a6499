/* Callers of the soak test and the checks of their answers. */
#include "soak.h"

#include <auburnstile/internal/tcp.h>

#include <string.h>

void soak_caller_disconnect(struct caller *caller)
{
	aub_http_stream_free(caller->stream);
	caller->stream = NULL;
}

static void finish_call(struct caller *caller, bool served)
{
	struct soak *soak = caller->soak;
	gint64 now = soak_now(soak);

	soak->calls++;
	soak->served += served;
	if (soak->partitions)
		soak_partitions_count(soak->partitions,
				      ((struct request *)g_hash_table_lookup(
					       soak->requests, caller->id))
					      ->link_group,
				      served);
	if (now > soak->faults_end_us + RECOVERY_MS * AUB_MS) {
		soak->recovered_calls++;
		soak->recovered_served += served;
		if (!served)
			g_print("unserved: %u from g%u: %s\n", caller->status,
				caller->gateway->number, caller->body_start);
	}
	caller->start_us = 0;
	caller->next_call_us =
		soak_random_time(soak, 1, 2 * THINK_TIME_MEAN_MS);
	g_clear_pointer(&caller->id, g_free);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct caller *caller = context;
	const char *id = aub_http_head_find(head, "Request-Id");

	caller->status = head->status;
	caller->body_bytes = 0;
	caller->is_own_answer = caller->id && id && !strcmp(id, caller->id);
	if (caller->is_own_answer)
		soak_notices_on_passed(
			g_hash_table_lookup(caller->soak->requests, caller->id),
			head);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct caller *caller = context;

	if (!caller->body_bytes)
		g_strlcpy(caller->body_start, data,
			  MIN(length + 1, sizeof(caller->body_start)));
	caller->body_bytes += length;
}

/* Returns whether the answer refuses the call for its key or its quota. */
static bool check_answer_rules(struct caller *caller)
{
	struct soak *soak = caller->soak;
	struct request *request =
		g_hash_table_lookup(soak->requests, caller->id);
	bool is_refused =
		soak->workspaces &&
		soak_workspaces_check_answer(soak->workspaces, request,
					     caller->status, caller->id);

	if (!caller->is_own_answer)
		soak_report_violation(soak, "MIXED (answer to another request)",
				      caller->id);
	if (caller->status == 200 && caller->body_bytes != ANSWER_BYTES)
		soak_report_violation(soak, "MIXED (incomplete answer)",
				      caller->id);
	if (caller->status / 100 == 4 && caller->status != 408 &&
	    caller->status != 421 && !is_refused)
		soak_report_violation(soak, "DENIED", caller->id);
	if (caller->status == 503 || caller->status == 429) {
		request->reported_not_run = request->at_most_once;
		if (request->at_most_once && request->executions)
			soak_report_violation(soak,
					      "REFUSED (already executed)",
					      caller->id);
	}
	return is_refused;
}

static void on_complete(void *context)
{
	struct caller *caller = context;
	bool is_refused;

	if (!caller->start_us) {
		soak_report_violation(caller->soak,
				      "MIXED (answer without a request)", "-");
		return;
	}
	is_refused = check_answer_rules(caller);
	finish_call(caller, caller->status == 200 || is_refused);
	aub_http_stream_resume(caller->stream);
}

static void on_ended(enum aub_stream_end_reason end, bool midway, void *context)
{
	struct caller *caller = context;

	soak_caller_disconnect(caller);
	if (caller->start_us)
		finish_call(caller, false);
}

static const struct aub_http_callbacks caller_callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static bool connect_caller(struct caller *caller)
{
	struct soak *soak = caller->soak;
	int fd;

	caller->gateway =
		&soak->gateways[g_rand_int_range(soak->random, 0,
						 (gint32)soak->gateway_count)];
	fd = aub_tcp_connect(caller->gateway->callers_address, NULL);
	if (fd < 0)
		return false;
	caller->stream =
		aub_http_stream_new(soak->poller, fd, HTTP_RESPONSE, true,
				    65536, &caller_callbacks, caller);
	return true;
}

static void start_call(struct caller *caller)
{
	struct soak *soak = caller->soak;
	struct request *request = g_new0(struct request, 1);
	GString *text = g_string_new(NULL);

	request->at_most_once = g_rand_boolean(soak->random);
	caller->id = g_strdup_printf("%x", ++soak->last_request_id);
	caller->start_us = soak_now(soak);
	caller->status = 0;
	request->gateway = caller->gateway->number;
	request->sent_us = caller->start_us;
	if (soak->refusals)
		soak_refusals_on_sent(soak->refusals);
	if (soak->partitions)
		request->link_group = soak_partitions_group(soak->partitions,
							    caller->gateway);
	g_hash_table_insert(soak->requests, g_strdup(caller->id), request);
	g_string_append_printf(text,
			       "%s /%s/%s HTTP/1.1\r\nHost: site\r\n"
			       "Request-Id: %s\r\nDeadline-Remaining-Ms: %d\r\n"
			       "%s",
			       request->at_most_once ? "POST" : "GET",
			       request->at_most_once ? "once" : "safe",
			       caller->id, caller->id, CALL_DEADLINE_MS,
			       request->at_most_once ? "Content-Length: 0\r\n" :
						       "");
	if (soak->workspaces)
		soak_workspaces_choose_key(soak->workspaces, request, text);
	g_string_append(text, "\r\n");
	aub_http_stream_write(caller->stream, text->str, text->len);
	aub_http_stream_flush(caller->stream);
	g_string_free(text, TRUE);
}

void soak_caller_step(struct caller *caller, gint64 now_us)
{
	if (caller->start_us) {
		if (now_us - caller->start_us > CALL_DEADLINE_MS * AUB_MS) {
			soak_caller_disconnect(caller);
			finish_call(caller, false);
		}
		return;
	}
	if (caller->next_call_us > now_us)
		return;
	if (!caller->stream && !connect_caller(caller))
		return;
	start_call(caller);
}
