/*
 * A caller's request as it goes to an upstream: its headers, and what the
 * upstream may spend on calls of its own.
 */
#include <auburnstile/internal/headers.h>
#include <auburnstile/internal/upstream_request.h>

#include <string.h>

/* What an answer needs to come back to the entry, on a busy machine. */
#define RESPONSE_TRANSIT_MS 4

static void set_number(SoupMessageHeaders *headers, const char *name,
		       gint64 number)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, number);
	soup_message_headers_replace(headers, name, text);
}

/*
 * Failure: an upstream's own calls are given up at the very moment at which
 * its caller gives it up, and a definite "not run" from below arrives too
 * late: the caller reads "unknown". The time told to the upstream is shorter
 * by the way of an answer; 25 levels of it take a quarter of the time.
 */
static gint64 upstream_deadline_ms(gint64 remaining_ms)
{
	gint64 margin_ms = RESPONSE_TRANSIT_MS + remaining_ms / 100;

	return MAX(remaining_ms - margin_ms, 1);
}

/*
 * Failure: each level of a call tree retries, and a failing leaf of 25 levels
 * gets millions of attempts. What the calls made on behalf of this one may
 * spend is half of its own budget, so that all levels together stay finite.
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
