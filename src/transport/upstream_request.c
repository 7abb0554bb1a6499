/*
 * Builds the request to an upstream: headers, body, and the limits for calls
 * that the upstream makes on behalf of it.
 */
#include <auburnstile/internal/headers.h>
#include <auburnstile/internal/upstream_request.h>

#include <string.h>

/* Time for a response to return to the entry on a loaded machine. */
#define RESPONSE_TRANSIT_MS 4

static void set_number(SoupMessageHeaders *headers, const char *name,
		       gint64 number)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, number);
	soup_message_headers_replace(headers, name, text);
}

/*
 * If an upstream's own calls timed out at the same time as its caller's, a
 * definite "not-run" from below would arrive too late and the caller would
 * receive "unknown". The deadline passed to the upstream is therefore shorter
 * by the time a response takes; over 25 levels this adds up to a quarter of
 * the time.
 */
static gint64 upstream_deadline_ms(gint64 remaining_ms)
{
	gint64 margin_ms = RESPONSE_TRANSIT_MS + remaining_ms / 100;

	return MAX(remaining_ms - margin_ms, 1);
}

/*
 * If each level of a call tree retried with the full budget, a failing leaf 25
 * levels down would receive millions of attempts. Calls made on behalf of this
 * one get half of its retry budget, so that the total stays finite.
 */
void aub_upstream_write_request(SoupMessage *message,
				const struct aub_call *call,
				gint64 remaining_ms)
{
	SoupMessageHeaders *headers;
	GBytes *body;
	char id[20];

	headers = soup_message_get_request_headers(message);
	if (call->body.length) {
		body = g_bytes_new(call->body.data, call->body.length);
		soup_message_set_request_body_from_bytes(message, NULL, body);
		g_bytes_unref(body);
	} else if (strcmp(call->method, "GET") != 0 &&
		   strcmp(call->method, "HEAD") != 0) {
		soup_message_headers_set_content_length(headers, 0);
	}
	aub_headers_to_soup(call->headers, headers);
	set_number(headers, "X-Deadline-Ms",
		   upstream_deadline_ms(remaining_ms));
	set_number(headers, "Auburnstile-Retry-Budget", call->retry_budget / 2);
	g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x", call->id);
	soup_message_headers_replace(headers, "Auburnstile-Request", id);
}
