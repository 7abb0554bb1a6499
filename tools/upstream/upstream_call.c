/*
 * Calls of a stand-in upstream to another service through an entry, one for
 * each request it executes, which makes trees of calls. The request's remaining
 * deadline and retry budget are passed on with the call, as callers are
 * required to do.
 */
#include "upstream/upstream.h"

struct upstream_call {
	struct upstream_job *job; /* NULL once the job has been freed */
	GCancellable *cancellable; /* owned reference */
	SoupMessage *message; /* owned reference */
};

static void copy_header(const struct upstream_job *job, SoupMessage *message,
			const char *from, const char *to)
{
	const char *value = soup_message_headers_get_one(
		soup_server_message_get_request_headers(job->message), from);

	if (value)
		soup_message_headers_append(soup_message_get_request_headers(
						    message),
					    to, value);
}

static void on_called(GObject *session, GAsyncResult *result, gpointer data)
{
	struct upstream_call *call = data;
	struct upstream_job *job = call->job;
	guint status = soup_message_get_status(call->message);
	GBytes *body;

	body = soup_session_send_and_read_finish(SOUP_SESSION(session), result,
						 NULL);
	if (job) {
		job->call = NULL;
		upstream_call_done(job,
				   body ? status : SOUP_STATUS_BAD_GATEWAY);
	}
	if (body)
		g_bytes_unref(body);
	g_object_unref(call->message);
	g_object_unref(call->cancellable);
	g_free(call);
}

void upstream_call(struct upstream_job *job)
{
	struct upstream *upstream = job->upstream;
	struct upstream_call *call = g_new0(struct upstream_call, 1);
	char *url;

	if (!upstream->session)
		upstream->session =
			soup_session_new_with_options("max-conns", 200,
						      "max-conns-per-host", 200,
						      NULL);
	call->job = job;
	call->cancellable = g_cancellable_new();
	url = g_strconcat(upstream->call_url, job->nonce, NULL);
	call->message = soup_message_new("GET", url);
	g_free(url);
	job->call = call;
	copy_header(job, call->message, "X-Nonce", "X-Nonce");
	copy_header(job, call->message, "X-Deadline-Ms",
		    "Auburnstile-Deadline-Ms");
	copy_header(job, call->message, "Auburnstile-Retry-Budget",
		    "Auburnstile-Retry-Budget");
	soup_session_send_and_read_async(upstream->session, call->message,
					 G_PRIORITY_DEFAULT, call->cancellable,
					 on_called, call);
}

void upstream_call_cancel(struct upstream_job *job)
{
	if (!job->call)
		return;
	job->call->job = NULL;
	g_cancellable_cancel(job->call->cancellable);
	job->call = NULL;
}
