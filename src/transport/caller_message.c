/*
 * Converts callers' requests and responses between libsoup's messages and the
 * project's messages.
 */
#include <auburnstile/internal/caller_message.h>
#include <auburnstile/internal/caller_server.h>
#include <auburnstile/internal/headers.h>

/*
 * Parses an optional number in a header and limits it to `max`. Returns false
 * if the value is not a number.
 */
static bool parse_bounded_number(SoupMessageHeaders *headers, const char *name,
				 guint64 max, guint32 *number)
{
	const char *text = soup_message_headers_get_one(headers, name);
	guint64 value;

	if (!text)
		return true;
	if (!aub_parse_number(text, &value))
		return false;
	*number = MIN(value, max);
	return true;
}

static char *path_with_query(GUri *uri)
{
	const char *query = g_uri_get_query(uri);

	if (!query)
		return g_strdup(g_uri_get_path(uri));
	return g_strconcat(g_uri_get_path(uri), "?", query, NULL);
}

struct aub_call *aub_caller_parse_request(SoupServerMessage *message)
{
	SoupMessageHeaders *headers;
	struct aub_call *call;
	const char *key;
	GBytes *body;

	headers = soup_server_message_get_request_headers(message);
	call = (struct aub_call *)aub_message_new(AUB_MESSAGE_CALL);
	call->retry_budget = AUB_RETRY_BUDGET_DEFAULT_PERCENT;
	if (!parse_bounded_number(headers, "Auburnstile-Deadline-Ms",
				  G_MAXUINT32 / 2, &call->deadline_ms) ||
	    !parse_bounded_number(headers, "Auburnstile-Retry-Budget",
				  AUB_RETRY_BUDGET_MAX_PERCENT,
				  &call->retry_budget)) {
		aub_message_free(&call->base);
		return NULL;
	}
	key = soup_message_headers_get_one(headers, "Auburnstile-Key");
	if (key)
		aub_string_set(&call->key, key);
	aub_string_set(&call->method, soup_server_message_get_method(message));
	g_free(call->path);
	call->path = path_with_query(soup_server_message_get_uri(message));
	aub_headers_from_soup(headers, call->headers);
	body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	if (body) {
		aub_bytes_set(&call->body, g_bytes_get_data(body, NULL),
			      g_bytes_get_size(body));
		g_bytes_unref(body);
	}
	return call;
}

static void write_outcome_headers(SoupMessageHeaders *headers,
				  const struct aub_answer *answer, bool stale)
{
	char text[24];

	soup_message_headers_replace(headers, "Auburnstile-Outcome",
				     aub_outcome_name(answer->outcome));
	if (answer->reason && *answer->reason)
		soup_message_headers_append(headers, "Auburnstile-Reason",
					    answer->reason);
	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
		   answer->id);
	soup_message_headers_append(headers, "Auburnstile-Request", text);
	if (answer->retry_after_ms) {
		g_snprintf(text, sizeof(text), "%u",
			   (answer->retry_after_ms + 999) / 1000);
		soup_message_headers_replace(headers, "Retry-After", text);
		g_snprintf(text, sizeof(text), "%u", answer->retry_after_ms);
		soup_message_headers_append(headers,
					    "Auburnstile-Retry-After-Ms", text);
	}
	if (stale)
		soup_message_headers_append(headers,
					    "Auburnstile-Addresses-Stale", "1");
}

static void write_body(SoupServerMessage *message, struct aub_answer *answer)
{
	SoupMessageHeaders *headers;
	const char *length;

	headers = soup_server_message_get_response_headers(message);
	if (soup_server_message_get_method(message) == SOUP_METHOD_HEAD) {
		length = aub_headers_find(answer->headers, "Content-Length");
		/*
		 * Without Content-Length or chunked encoding, libsoup would
		 * close the connection to mark the end of the response.
		 */
		if (!length)
			soup_message_headers_set_encoding(
				headers, SOUP_ENCODING_CHUNKED);
		return;
	}
	/*
	 * libsoup 3.2 closes the connection after these statuses without
	 * sending "Connection: close".
	 */
	if (answer->status == SOUP_STATUS_NO_CONTENT ||
	    answer->status == SOUP_STATUS_NOT_MODIFIED)
		soup_message_headers_replace(headers, "Connection", "close");
	if (!answer->body.length)
		return;
	soup_message_body_append(soup_server_message_get_response_body(message),
				 SOUP_MEMORY_TAKE, answer->body.data,
				 answer->body.length);
	answer->body = (struct aub_bytes){ 0 };
}

void aub_caller_write_response(SoupServerMessage *message,
			       struct aub_answer *answer, bool stale)
{
	SoupMessageHeaders *headers;

	headers = soup_server_message_get_response_headers(message);
	write_body(message, answer);
	/*
	 * libsoup has already added a Date header; the upstream's Date
	 * replaces it.
	 */
	if (aub_headers_find(answer->headers, "Date"))
		soup_message_headers_remove(headers, "Date");
	aub_headers_to_soup(answer->headers, headers);
	write_outcome_headers(headers, answer, stale);
	soup_server_message_set_status(message, answer->status, NULL);
}
